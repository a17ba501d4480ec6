/**
 * One term of leadership, from reading the stored state to the loss of the lease. {@link
 * madderrudder.coordination.leader.Leader} puts the parts of a term together: failover, answers to
 * heartbeats, the planning loop, delegation to other controllers, and status for operators.
 *
 * <p>Everything here is confined to the event loop thread.
 */
package madderrudder.coordination.leader;
