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
 * Decides which machines to rent for tasks that found no free capacity. Booting machines and
 * pending requests count as capacity. For a task that would fit on an empty owned machine, machines
 * are requested only after the policy's threshold, and they count against the budget; for a task
 * that fits on no owned machine, they are requested at once and not counted. A pure function of its
 * arguments.
 */
public final class ScaleOutPlanner {
  private final PlanningRound round;
  private final Cluster cluster;
  private final RoundUsage usage;
  private final ScaleOutSelection selection;
  private final List<IncomingMachine> incomingMachines = new ArrayList<>();

  private ScaleOutPlanner(
      PlanningRound round,
      int budgetLeft,
      ToIntFunction<CapacityPool> requestLimit,
      List<ScaleOutRequest> pendingRequests) {
    this.round = round;
    cluster = round.cluster();
    usage = new RoundUsage(cluster);
    selection = new ScaleOutSelection(round, usage, budgetLeft, requestLimit);
    for (Machine machine : cluster.machines.values()) {
      if (isIncoming(machine)) {
        incomingMachines.add(IncomingMachine.of(machine));
      }
      if (!machine.retiring && !machine.leaseExpired) {
        selection.addExisting(machine.capacityPool(), 1);
      }
    }
    for (ScaleOutRequest request : pendingRequests) {
      selection.addPending(request);
      for (int i = 0; i < request.count(); i++) {
        incomingMachines.add(IncomingMachine.of(request));
      }
    }
  }

  /**
   * Whether the machine is expected to become usable soon: it boots within the usual time, or it
   * was up when this leader took over and its first heartbeat is not overdue yet.
   */
  private boolean isIncoming(Machine machine) {
    ClusterCoverage coverage = round.demand().coverage();
    return coverage.mayStillReport(machine)
        || (machine.bootingOnTime(round.nowMicros()) && !coverage.isMissing(machine));
  }

  /**
   * Returns the machines to request now.
   *
   * @param nowMicros the time on the monotonic clock, in microseconds
   * @param budgetLeft how many counted machines the budget still allows
   * @param requestLimit how many machines of a pool may be requested now
   * @param pendingRequests earlier requests whose outcome is not known yet
   */
  public static List<ScaleOutRequest> plan(
      Cluster cluster,
      OperatorPolicy policy,
      Demand demand,
      long nowMicros,
      int budgetLeft,
      ToIntFunction<CapacityPool> requestLimit,
      List<ScaleOutRequest> pendingRequests) {
    PlanningRound round = new PlanningRound(cluster, policy, demand, nowMicros);
    ScaleOutPlanner planner = new ScaleOutPlanner(round, budgetLeft, requestLimit, pendingRequests);
    for (Job job : demand.waiting()) {
      if (!job.failing() && job.nextWaiting(0) >= 0 && demand.coverage().suffices(job)) {
        planner.planForWaitingTasks(job);
      }
    }
    ProductionAtRisk.countByJob(round).forEach(planner::planReplacements);
    return planner.selection.requests();
  }

  private void planReplacements(Job job, int count) {
    JobCapacity capacity = new JobCapacity(job);
    for (int remaining = count; remaining > 0; remaining--) {
      if (!capacity.allocateTask(remaining, () -> true)) {
        return;
      }
    }
  }

  private void planForWaitingTasks(Job job) {
    JobCapacity capacity = new JobCapacity(job);
    int waitingTasks = job.waitingCount();
    for (int next = job.nextWaiting(0); next >= 0; next = job.nextWaiting(next + 1)) {
      int task = next;
      if (!usage.teamAllows(job)) {
        return;
      }
      if (capacity.fitsOwned && !round.waitedThreshold(job, task)) {
        continue;
      }
      if (!capacity.allocateTask(
          waitingTasks, () -> !capacity.fitsOwned || onDemandAllowed(job, task))) {
        return;
      }
      waitingTasks--;
    }
  }

  /**
   * Whether an on-demand machine, which costs a multiple of a spot machine, may be requested for
   * the task. A task that may use spot machines and has no objective for a prompt start first waits
   * for spot or owned machines for the policy's share of its spare time, unless headroom on
   * non-spot machines is short. Not called for a task that fits on no owned machine, which never
   * waits.
   */
  private boolean onDemandAllowed(Job job, int task) {
    if (selection.lacksNonSpotHeadroom()
        || !job.spec.spotAllowed()
        || cluster.deployment.objectives().hasWaitObjective(job.spec)) {
      return true;
    }
    List<Long> dueOffsets = cluster.deployment.objectives().dueOffsetsMicros(job.spec);
    long spareMicros =
        dueOffsets.isEmpty() ? 0 : dueOffsets.get(0) - cluster.runTimes.upperBoundMicros(job);
    return round.nowMicros() - job.waitingSinceMicros(task)
        >= round.policy().spotWaitShare() * spareMicros;
  }

  private boolean fits(Job job, IncomingMachine machine) {
    return job.spec.resourcesPerTask().fits(machine.free)
        && usage.allows(job, machine.type, machine.zone, machine.spot);
  }

  /**
   * The incoming machines that fit tasks of one job, spot machines first. A machine that is too
   * full for a task of the job, or in a zone that the job may not use any more, stays so for the
   * rest of the job in this round, so the list is traversed only once per job.
   */
  private final class JobCapacity {
    private final Job job;
    private final boolean fitsOwned;
    private final List<IncomingMachine> fittingMachines = new ArrayList<>();
    private int nextIndex;

    JobCapacity(Job job) {
      this.job = job;
      fitsOwned = round.ownedCouldFit(job);
      addFittingMachines(true);
      addFittingMachines(false);
    }

    private void addFittingMachines(boolean spot) {
      for (IncomingMachine machine : incomingMachines) {
        if (machine.spot == spot && fits(job, machine)) {
          fittingMachines.add(machine);
        }
      }
    }

    /**
     * Allocates capacity for one task on an incoming machine, or on one that is requested for it.
     *
     * @param waitingTasks how many tasks of the job could share a requested machine
     * @param onDemandAllowed whether an on-demand machine may be requested; evaluated only if no
     *     incoming machine fits
     * @return false if there is no such machine
     */
    boolean allocateTask(int waitingTasks, BooleanSupplier onDemandAllowed) {
      while (nextIndex < fittingMachines.size() && !fits(job, fittingMachines.get(nextIndex))) {
        nextIndex++;
      }
      if (nextIndex == fittingMachines.size()
          && !requestMachine(waitingTasks, onDemandAllowed.getAsBoolean())) {
        return false;
      }
      IncomingMachine machine = fittingMachines.get(nextIndex);
      machine.free = machine.free.minus(job.spec.resourcesPerTask());
      usage.addTaskInZone(job, machine.zone);
      return true;
    }

    private boolean requestMachine(int waitingTasks, boolean onDemandAllowed) {
      IncomingMachine machine = selection.request(job, fitsOwned, waitingTasks, onDemandAllowed);
      if (machine == null) {
        return false;
      }
      incomingMachines.add(machine);
      fittingMachines.add(machine);
      return true;
    }
  }
}
