package madderrudder.coordination.scheduling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import madderrudder.coordination.policy.OperatorPolicy.SpotMode;
import madderrudder.coordination.state.CapacityPool;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;

/** Chooses the pool from which each machine is requested, within the budget and the pool limits. */
final class ScaleOutSelection {
  /**
   * The cost of a spot machine while non-spot headroom is short. Exceeds any price, so that a spot
   * machine is requested only if no on-demand machine is available.
   */
  private static final double SPOT_DURING_SHORTFALL_COST = 1e6;

  /** Spreads machines over pools of similar price. */
  private static final double COST_PER_MACHINE_IN_POOL = 1e-4;

  /** Spreads replicas of a service over zones of similar price. */
  private static final double COST_PER_REPLICA_IN_ZONE = 1e-3;

  private static final boolean[] SPOT_THEN_ON_DEMAND = {true, false};

  private final PlanningRound round;
  private final RoundUsage usage;
  private final ToIntFunction<CapacityPool> requestLimit;
  private final Map<CapacityPool, Integer> machineCountByPool = new HashMap<>();
  private final Map<RequestKey, ScaleOutRequest> requests = new LinkedHashMap<>();
  private int budgetLeft;
  private long nonSpotShortfallNanoCpus;

  private record RequestKey(CapacityPool pool, boolean countsAgainstBudget) {}

  ScaleOutSelection(
      PlanningRound round,
      RoundUsage usage,
      int budgetLeft,
      ToIntFunction<CapacityPool> requestLimit) {
    this.round = round;
    this.usage = usage;
    this.budgetLeft = budgetLeft;
    this.requestLimit = requestLimit;
    nonSpotShortfallNanoCpus = NonSpotHeadroom.shortfallNanoCpus(round);
  }

  /** Counts existing machines of the pool. */
  void addExisting(CapacityPool pool, int count) {
    machineCountByPool.merge(pool, count, Integer::sum);
  }

  /** Counts an earlier request whose outcome is not known yet. */
  void addPending(ScaleOutRequest request) {
    if (!request.spot()) {
      nonSpotShortfallNanoCpus -= request.count() * request.type().capacity().nanoCpus();
    }
    addExisting(request.capacityPool(), request.count());
  }

  /** Whether there is too little headroom on non-spot machines; see {@link NonSpotHeadroom}. */
  boolean lacksNonSpotHeadroom() {
    return nonSpotShortfallNanoCpus > 0;
  }

  /**
   * Returns the requests of this round: per pool at most one that counts against the budget and one
   * that does not.
   */
  List<ScaleOutRequest> requests() {
    return List.copyOf(requests.values());
  }

  /**
   * Requests one more machine for the job.
   *
   * @param countsAgainstBudget whether the machine counts against the budget
   * @param waitingTasks how many tasks of the job could share the machine
   * @param onDemandAllowed whether an on-demand machine may be requested although the policy allows
   *     a spot machine
   * @return the machine, or null if none can be requested
   */
  IncomingMachine request(
      Job job, boolean countsAgainstBudget, int waitingTasks, boolean onDemandAllowed) {
    if (countsAgainstBudget && budgetLeft < 1) {
      return null;
    }
    ScaleOutRequest best = cheapest(job, countsAgainstBudget, waitingTasks, onDemandAllowed);
    if (best == null) {
      return null;
    }
    addExisting(best.capacityPool(), 1);
    if (!best.spot() && job.spec.priority() != Priority.PRODUCTION) {
      nonSpotShortfallNanoCpus -= best.type().capacity().nanoCpus();
    }
    if (countsAgainstBudget) {
      budgetLeft--;
    }
    requests.merge(
        new RequestKey(best.capacityPool(), countsAgainstBudget),
        best,
        (earlier, added) -> earlier.oneMore());
    return IncomingMachine.of(best);
  }

  private ScaleOutRequest cheapest(
      Job job, boolean countsAgainstBudget, int waitingTasks, boolean onDemandAllowed) {
    boolean spotAllowed = spotAllowed(countsAgainstBudget);
    ScaleOutRequest best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : round.cluster().types.values()) {
      long tasksPerMachine = job.spec.resourcesPerTask().timesIn(type.capacity());
      if (tasksPerMachine == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : SPOT_THEN_ON_DEMAND) {
          if (spot ? !spotAllowed : spotAllowed && !onDemandAllowed) {
            continue;
          }
          ScaleOutRequest request = new ScaleOutRequest(type, zone, spot, 1, countsAgainstBudget);
          if (!usage.allows(job, type, zone, spot) || atRequestLimit(request)) {
            continue;
          }
          double cost = cost(job, request, Math.min(tasksPerMachine, Math.max(1, waitingTasks)));
          if (cost < bestCost) {
            best = request;
            bestCost = cost;
          }
        }
      }
    }
    return best;
  }

  private boolean spotAllowed(boolean countsAgainstBudget) {
    SpotMode mode = round.policy().spotMode();
    return mode == SpotMode.ALWAYS || (mode == SpotMode.UNCOUNTED && !countsAgainstBudget);
  }

  private boolean atRequestLimit(ScaleOutRequest request) {
    CapacityPool pool = request.capacityPool();
    ScaleOutRequest requested = requests.get(new RequestKey(pool, request.countsAgainstBudget()));
    int count = requested == null ? 0 : requested.count();
    return count >= requestLimit.applyAsInt(pool);
  }

  /**
   * Returns the price per task, with the surcharges defined above. Dividing by the tasks that would
   * share the machine makes a large machine cheap only if there are enough tasks to fill it.
   */
  private double cost(Job job, ScaleOutRequest request, long tasks) {
    boolean spotDuringShortfall = lacksNonSpotHeadroom() && request.spot();
    return (spotDuringShortfall ? SPOT_DURING_SHORTFALL_COST : 0)
        + request.type().price(request.spot()) / tasks
        + COST_PER_MACHINE_IN_POOL * machineCountByPool.getOrDefault(request.capacityPool(), 0)
        + (job.spec.kind() == JobKind.SERVICE
            ? COST_PER_REPLICA_IN_ZONE * usage.plannedInZone(job, request.zone())
            : 0);
  }
}
