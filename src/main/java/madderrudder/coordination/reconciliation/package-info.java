/**
 * Reconciles what the leader has recorded with what workers and the cloud report. The reconcilers
 * are pure functions from facts to a decision; {@code docs/cold-start.md} has their tables, which a
 * test compares with the code.
 */
package madderrudder.coordination.reconciliation;
