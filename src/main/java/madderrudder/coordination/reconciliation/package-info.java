/**
 * Reconciles the leader's records with what workers and the cloud report. The reconcilers are pure
 * functions from facts to a decision. {@code docs/cold-start.md} documents them as decision tables,
 * which a test compares with the code.
 */
package madderrudder.coordination.reconciliation;
