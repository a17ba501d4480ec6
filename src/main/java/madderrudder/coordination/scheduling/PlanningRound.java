package madderrudder.coordination.scheduling;

import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;

/**
 * The input of one planning round, with the checks on it that several planners share.
 *
 * @param cluster the leader's view of the cluster
 * @param policy the operators' policy
 * @param demand the jobs to schedule
 * @param nowMicros the time of the round on the monotonic clock, in microseconds
 */
record PlanningRound(Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {

  /** Whether the state of the machine and its worker allows tasks to be placed on it now. */
  boolean usable(Machine machine) {
    return machine.usable(nowMicros, cluster.deployment.workers().heartbeatIntervalMicros());
  }

  /** Whether a task of the job would fit on some owned machine if that machine were empty. */
  boolean ownedCouldFit(Job job) {
    return cluster.ownedCouldFit(job, nowMicros);
  }

  /**
   * Whether the task has waited at least the policy's threshold, so that it may use rented
   * machines.
   */
  boolean waitedThreshold(Job job, int task) {
    return nowMicros - job.waitingSinceMicros(task) >= policy.rentalThresholdMicros();
  }

  /** Whether the job is covered by its team's guarantee. */
  boolean guaranteed(Job job) {
    return demand.guaranteed().contains(job);
  }
}
