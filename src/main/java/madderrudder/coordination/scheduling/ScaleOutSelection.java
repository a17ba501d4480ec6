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

/** Chooses which pool each further machine is requested from, within the budget and the limits. */
final class ScaleOutSelection {
  /** Above any price: a spot instance is taken only if no steady machine is to be had. */
  private static final double SPOT_DESPITE_SHORTFALL = 1e6;

  /** Spreads machines over pools, and replicas over zones, where prices are alike. */
  private static final double PER_MACHINE_OF_POOL = 1e-4;

  private static final double PER_REPLICA_IN_ZONE = 1e-3;
  private static final boolean[] SPOT_THEN_STEADY = {true, false};

  private final PlanningRound round;
  private final RoundUsage usage;
  private final ToIntFunction<CapacityPool> requestLimit;
  private final Map<CapacityPool, Integer> machinesOfPool = new HashMap<>();
  private final Map<RequestKey, ScaleOutRequest> requests = new LinkedHashMap<>();
  private int budgetLeft;
  private long steadyShortfallMilliCpus;

  private record RequestKey(CapacityPool pool, boolean counted) {}

  ScaleOutSelection(
      PlanningRound round,
      RoundUsage usage,
      int budgetLeft,
      ToIntFunction<CapacityPool> requestLimit) {
    this.round = round;
    this.usage = usage;
    this.budgetLeft = budgetLeft;
    this.requestLimit = requestLimit;
    steadyShortfallMilliCpus = SteadyHeadroom.shortfallMilliCpus(round);
  }

  /** Counts machines that the pool has given already. */
  void addExisting(CapacityPool pool, int count) {
    machinesOfPool.merge(pool, count, Integer::sum);
  }

  /** Counts an earlier request whose machines have not come yet. */
  void addUnderWay(ScaleOutRequest request) {
    if (!request.spot()) {
      steadyShortfallMilliCpus -= request.count() * request.type().capacity().milliCpus();
    }
    addExisting(request.capacityPool(), request.count());
  }

  /** Whether steady machines are missing for production that must start at once. */
  boolean shortOfSteady() {
    return steadyShortfallMilliCpus > 0;
  }

  List<ScaleOutRequest> requests() {
    return List.copyOf(requests.values());
  }

  /**
   * Requests one more machine for the job.
   *
   * @param counted whether it counts against the budget
   * @param waiting how many tasks of the job could share the machine
   * @param steadyAllowed whether a steady machine may be requested where spot instances could be
   * @return the machine, or null if none is to be had
   */
  IncomingMachine request(Job job, boolean counted, int waiting, boolean steadyAllowed) {
    if (counted && budgetLeft < 1) {
      return null;
    }
    ScaleOutRequest best = cheapest(job, counted, waiting, steadyAllowed);
    if (best == null) {
      return null;
    }
    addExisting(best.capacityPool(), 1);
    if (!best.spot() && job.spec.priority() != Priority.PRODUCTION) {
      steadyShortfallMilliCpus -= best.type().capacity().milliCpus();
    }
    if (counted) {
      budgetLeft--;
    }
    requests.merge(
        new RequestKey(best.capacityPool(), counted), best, (earlier, one) -> earlier.oneMore());
    return IncomingMachine.of(best);
  }

  private ScaleOutRequest cheapest(Job job, boolean counted, int waiting, boolean steadyAllowed) {
    boolean spotAllowed = spotAllowed(counted);
    ScaleOutRequest best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : round.cluster().types.values()) {
      long fitting = job.spec.perTask().timesIn(type.capacity());
      if (fitting == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : SPOT_THEN_STEADY) {
          if (spot ? !spotAllowed : spotAllowed && !steadyAllowed) {
            continue;
          }
          ScaleOutRequest request = new ScaleOutRequest(type, zone, spot, 1, counted);
          if (!usage.allows(job, type, zone, spot) || exhausted(request)) {
            continue;
          }
          double cost = cost(job, request, Math.min(fitting, Math.max(1, waiting)));
          if (cost < bestCost) {
            best = request;
            bestCost = cost;
          }
        }
      }
    }
    return best;
  }

  private boolean spotAllowed(boolean counted) {
    SpotMode mode = round.policy().spotMode();
    return mode == SpotMode.ALWAYS || (mode == SpotMode.UNCOUNTED && !counted);
  }

  private boolean exhausted(ScaleOutRequest request) {
    CapacityPool pool = request.capacityPool();
    ScaleOutRequest requested = requests.get(new RequestKey(pool, request.counted()));
    int count = requested == null ? 0 : requested.count();
    return count >= requestLimit.applyAsInt(pool);
  }

  /** The price per task: a big machine is cheap only if there are tasks to fill it. */
  private double cost(Job job, ScaleOutRequest request, long tasks) {
    boolean spotDespiteShortfall = shortOfSteady() && request.spot();
    return (spotDespiteShortfall ? SPOT_DESPITE_SHORTFALL : 0)
        + request.type().price(request.spot()) / tasks
        + PER_MACHINE_OF_POOL * machinesOfPool.getOrDefault(request.capacityPool(), 0)
        + (job.spec.kind() == JobKind.SERVICE
            ? PER_REPLICA_IN_ZONE * usage.planned(job, request.zone())
            : 0);
  }
}
