/**
 * Scheduling decisions: where waiting tasks are placed, which running tasks are preempted for them,
 * which tasks are drained from machines that the cloud reclaims, and which machines are rented.
 * Each planner is a pure function of the cluster state, the operators' policy and the clock value
 * that it is given; the leader carries out the decisions that the planners return.
 */
package madderrudder.coordination.scheduling;
