/**
 * Scheduling decisions: where waiting tasks are placed, what is preempted for them, what is drained
 * from machines that the cloud reclaims, and what is rented. Each planner is a pure function of the
 * cluster state, the operators' policy and the clock that it is given; the leader carries out what
 * they return.
 */
package madderrudder.coordination.scheduling;
