package madderrudder.coordination.scheduling;

import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;

/**
 * What the planners of one round are given, and the questions about it that several of them ask.
 */
record PlanningRound(Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {

  /** Whether tasks may be placed on the machine as far as its worker is concerned. */
  boolean usable(Machine machine) {
    return machine.usable(nowMicros, cluster.deployment.workers().reportMicros());
  }

  /** Whether some owned machine could take a task of the job if it were empty. */
  boolean ownedCouldFit(Job job) {
    return cluster.ownedCouldFit(job, nowMicros);
  }

  /** Whether the task has waited for owned machines for as long as the policy's threshold. */
  boolean waitedThreshold(Job job, int task) {
    return nowMicros - job.waitingSinceMicros(task) >= policy.thresholdMicros();
  }

  boolean guaranteed(Job job) {
    return demand.guaranteed().contains(job);
  }
}
