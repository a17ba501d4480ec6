/**
 * The leader during one term, from reading the stored state to the loss of the lease. {@link
 * madderrudder.coordination.leader.Leader} combines the components of a term: loading the stored
 * state, replies to heartbeats, the planning loop, delegation to other controllers, and status for
 * operators.
 *
 * <p>All classes are confined to the event loop thread.
 */
package madderrudder.coordination.leader;
