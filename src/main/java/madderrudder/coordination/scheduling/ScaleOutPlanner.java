package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.state.CapacityPool;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.ScaleOutRequest;

/**
 * Decides which machines to rent for tasks that found no free capacity. Machines that boot, and
 * requests under way, count as capacity. For a task that some owned machine could take, machines
 * are requested only after the policy's threshold and against the budget; for one that none could
 * take, at once and not counted. A pure function of what it is given.
 */
public final class ScaleOutPlanner {
  private final PlanningRound round;
  private final Cluster cluster;
  private final RoundUsage usage;
  private final ScaleOutSelection selection;
  private final List<IncomingMachine> incoming = new ArrayList<>();

  private ScaleOutPlanner(
      PlanningRound round,
      int budgetLeft,
      ToIntFunction<CapacityPool> requestLimit,
      List<ScaleOutRequest> underWay) {
    this.round = round;
    cluster = round.cluster();
    usage = new RoundUsage(cluster);
    selection = new ScaleOutSelection(round, usage, budgetLeft, requestLimit);
    for (Machine machine : cluster.machines.values()) {
      if (onItsWay(machine)) {
        incoming.add(IncomingMachine.of(machine));
      }
      if (!machine.retiring && !machine.leaseExpired) {
        selection.addExisting(machine.capacityPool(), 1);
      }
    }
    for (ScaleOutRequest request : underWay) {
      selection.addUnderWay(request);
      for (int i = 0; i < request.count(); i++) {
        incoming.add(IncomingMachine.of(request));
      }
    }
  }

  /** What was up when this leader took over is on its way too, until it should have been heard. */
  private boolean onItsWay(Machine machine) {
    ClusterCoverage coverage = round.demand().coverage();
    return coverage.awaits(machine)
        || (machine.bootingOnTime(round.nowMicros()) && !coverage.misses(machine));
  }

  /**
   * The machines to request now.
   *
   * @param budgetLeft how many counted machines the budget still allows
   * @param requestLimit how many machines of a pool may be requested now
   * @param underWay earlier requests whose answer is not known yet
   */
  public static List<ScaleOutRequest> plan(
      Cluster cluster,
      OperatorPolicy policy,
      Demand demand,
      long nowMicros,
      int budgetLeft,
      ToIntFunction<CapacityPool> requestLimit,
      List<ScaleOutRequest> underWay) {
    PlanningRound round = new PlanningRound(cluster, policy, demand, nowMicros);
    ScaleOutPlanner planner = new ScaleOutPlanner(round, budgetLeft, requestLimit, underWay);
    for (Job job : demand.waiting()) {
      if (!job.failing() && job.nextWaiting(0) >= 0 && demand.coverage().suffices(job)) {
        planner.planWaiting(job);
      }
    }
    ProductionAtRisk.tasks(round).forEach(planner::planReplacements);
    return planner.selection.requests();
  }

  private void planReplacements(Job job, int count) {
    JobCapacity capacity = new JobCapacity(job);
    for (int left = count; left > 0; left--) {
      if (!capacity.takeForTask(left, () -> true)) {
        return;
      }
    }
  }

  private void planWaiting(Job job) {
    JobCapacity capacity = new JobCapacity(job);
    int waiting = job.waitingCount();
    for (int next = job.nextWaiting(0); next >= 0; next = job.nextWaiting(next + 1)) {
      int task = next;
      if (!usage.teamAllows(job)) {
        return;
      }
      if (capacity.ownedFits && !round.waitedThreshold(job, task)) {
        continue;
      }
      if (!capacity.takeForTask(waiting, () -> !capacity.ownedFits || worthSteady(job, task))) {
        return;
      }
      waiting--;
    }
  }

  /**
   * Whether a steady machine, which costs a multiple of a spot instance, may be requested for the
   * task. Work that may use either, and need not start at once, spends some of the time it has to
   * spare on waiting for spot or owned machines. What no owned machine could take never waits.
   */
  private boolean worthSteady(Job job, int task) {
    if (selection.shortOfSteady()
        || !job.spec.spotAllowed()
        || cluster.deployment.objectives().wantsPromptStart(job.spec)) {
      return true;
    }
    List<Long> dues = cluster.deployment.objectives().dueMicros(job.spec);
    long spare = dues.isEmpty() ? 0 : dues.get(0) - cluster.runTimes.upperBoundMicros(job);
    return round.nowMicros() - job.waitingSinceMicros(task) >= round.policy().patience() * spare;
  }

  private boolean fits(Job job, IncomingMachine machine) {
    return job.spec.perTask().fits(machine.free)
        && usage.allows(job, machine.type, machine.zone, machine.spot);
  }

  /**
   * The machines on their way that could take tasks of one job, spot instances first. One that is
   * too full for a task of the job, or in a zone that is closed to it, stays so for the rest of the
   * job in this round: they are gone through once for each job.
   */
  private final class JobCapacity {
    private final Job job;
    private final boolean ownedFits;
    private final List<IncomingMachine> fitting = new ArrayList<>();
    private int current;

    JobCapacity(Job job) {
      this.job = job;
      ownedFits = round.ownedCouldFit(job);
      addFitting(true);
      addFitting(false);
    }

    private void addFitting(boolean spot) {
      for (IncomingMachine machine : incoming) {
        if (machine.spot == spot && fits(job, machine)) {
          fitting.add(machine);
        }
      }
    }

    /**
     * Takes capacity for one task, on a machine on its way or on one that is requested for it.
     *
     * @param waiting how many tasks of the job could share a machine that is requested
     * @return false if there is none
     */
    boolean takeForTask(int waiting, BooleanSupplier steadyAllowed) {
      while (current < fitting.size() && !fits(job, fitting.get(current))) {
        current++;
      }
      if (current == fitting.size() && !request(waiting, steadyAllowed.getAsBoolean())) {
        return false;
      }
      IncomingMachine machine = fitting.get(current);
      machine.free = machine.free.minus(job.spec.perTask());
      usage.count(job, machine.zone);
      return true;
    }

    private boolean request(int waiting, boolean steadyAllowed) {
      IncomingMachine machine = selection.request(job, ownedFits, waiting, steadyAllowed);
      if (machine == null) {
        return false;
      }
      incoming.add(machine);
      fitting.add(machine);
      return true;
    }
  }
}
