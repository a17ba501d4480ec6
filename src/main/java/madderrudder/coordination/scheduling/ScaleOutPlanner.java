package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.reconciliation.Confidence;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * Decides what to rent for tasks that found no room. Machines that boot, and rentals under way,
 * count as room. A task that some owned machine could take is rented for only after the threshold,
 * against the budget; one that none could take is rented for at once and not counted. A pure
 * function.
 */
public final class ScaleOutPlanner {
  /** Above any price: a cheap machine is taken only if no steady one is to be had. */
  private static final double LACKING = 1e6;

  private final Cluster cluster;
  private final OperatorPolicy policy;
  private final long nowMicros;
  private final ToIntFunction<ScaleOutRequest.CapacityPool> most;
  private final Confidence confidence;
  private final RoundUsage room;
  private final List<Coming> coming = new ArrayList<>();
  private final Map<ScaleOutRequest.CapacityPool, Integer> perShelf = new HashMap<>();
  private final Map<RentalKey, ScaleOutRequest> scaleOut = new LinkedHashMap<>();
  private int budgetLeft;

  /** Steady room that is missing for work that must start before a machine could boot for it. */
  private long lackMilliCpus;

  /** A machine that is on its way. */
  private static final class Coming {
    final MachineType type;
    final String zone;
    final boolean spot;
    Resources free;

    Coming(MachineType type, String zone, boolean spot, Resources free) {
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.free = free;
    }
  }

  private record RentalKey(ScaleOutRequest.CapacityPool shelf, boolean counted) {}

  private ScaleOutPlanner(
      Cluster cluster,
      OperatorPolicy policy,
      Demand demand,
      long nowMicros,
      int budgetLeft,
      ToIntFunction<ScaleOutRequest.CapacityPool> most,
      List<ScaleOutRequest> underWay) {
    this.cluster = cluster;
    this.policy = policy;
    this.nowMicros = nowMicros;
    this.budgetLeft = budgetLeft;
    this.most = most;
    confidence = demand.confidence();
    room = new RoundUsage(cluster);
    lackMilliCpus = cluster.rentingTooSlow() && demand.promptNeedsSteady() ? lack() : 0;
    for (Machine machine : cluster.machines.values()) {
      // What was up when this leader took over is on its way too, until it should have been heard.
      if (confidence.awaits(machine)
          || (machine.bootingOnTime(nowMicros) && !confidence.misses(machine))) {
        coming.add(new Coming(machine.type, machine.zone, machine.spot, machine.free()));
      }
      if (!machine.retiring && !machine.leaseExpired) {
        perShelf.merge(
            new ScaleOutRequest.CapacityPool(machine.type.name(), machine.zone, machine.spot),
            1,
            Integer::sum);
      }
    }
    for (ScaleOutRequest rental : underWay) {
      lackMilliCpus -= rental.spot() ? 0 : rental.count() * rental.type().capacity().milliCpus();
      for (int i = 0; i < rental.count(); i++) {
        coming.add(
            new Coming(rental.type(), rental.zone(), rental.spot(), rental.type().capacity()));
      }
      perShelf.merge(rental.capacityPool(), rental.count(), Integer::sum);
    }
  }

  /**
   * Production work that may not use cheap machines can only start at once on steady ones, in free
   * room or in place of other work. Ordinary work goes to steady machines until there is a headroom
   * of such room.
   */
  private long lack() {
    long all = 0;
    long steady = 0;
    for (Machine machine : cluster.machines.values()) {
      if (machine.retiring || machine.leaseExpired || machine.failed) {
        continue;
      }
      all += machine.type.capacity().milliCpus();
      if (!machine.spot) {
        steady += machine.type.capacity().milliCpus();
        for (Assignment assignment : machine.assignments.values()) {
          if (assignment.job != null && assignment.job.spec.priority() == Priority.PRODUCTION) {
            steady -= assignment.resources.milliCpus();
          }
        }
      }
    }
    return (long) (policy.headroom() * all) - steady;
  }

  /** {@code most}: how many machines of a type, zone and kind may be asked for now. */
  public static List<ScaleOutRequest> plan(
      Cluster cluster,
      OperatorPolicy policy,
      Demand demand,
      long nowMicros,
      int budgetLeft,
      ToIntFunction<ScaleOutRequest.CapacityPool> most,
      List<ScaleOutRequest> underWay) {
    ScaleOutPlanner planner =
        new ScaleOutPlanner(cluster, policy, demand, nowMicros, budgetLeft, most, underWay);
    for (Job job : demand.waiting()) {
      if (!job.failing() && job.nextWaiting(0) >= 0 && demand.confidence().suffices(job)) {
        planner.planJob(job);
      }
    }
    planner.soonMissing().forEach(planner::planMissing);
    return List.copyOf(planner.scaleOut.values());
  }

  /**
   * Production work on machines that have fallen silent is likely to be missing soon. It may not be
   * started elsewhere before their leases are over, but what it will need then can boot meanwhile;
   * what turns out not to be needed goes back when idle. If most are silent, it is rather this node
   * that is cut off.
   */
  private Map<Job, Integer> soonMissing() {
    Map<Job, Integer> missing = new LinkedHashMap<>();
    int silent = 0;
    int heard = 0;
    for (Machine machine : cluster.machines.values()) {
      boolean unheard = confidence.misses(machine);
      if ((!machine.reported && !unheard) || machine.leaseExpired || machine.retiring) {
        continue;
      }
      heard++;
      long reportMicros = cluster.deployment.workers().reportMicros();
      if (unheard
          || machine.silent(nowMicros, reportMicros)
          || machine.unacknowledgedFor(nowMicros, Machine.missedHeartbeatsMicros(reportMicros))) {
        silent++;
        for (Assignment assignment : machine.assignments.values()) {
          if (assignment.job != null
              && !assignment.evicting
              && assignment.job.spec.priority() == Priority.PRODUCTION) {
            missing.merge(assignment.job, 1, Integer::sum);
          }
        }
      }
    }
    return 2 * silent < heard ? missing : Map.of();
  }

  private void planMissing(Job job, int count) {
    boolean ownedFits = cluster.ownedCouldFit(job, nowMicros);
    List<Coming> fitting = fitting(job);
    int next = 0;
    for (int left = count; left > 0; left--) {
      while (next < fitting.size() && !takes(job, fitting.get(next))) {
        next++;
      }
      if (next == fitting.size()) {
        Coming rented = rent(job, ownedFits, left, true);
        if (rented == null) {
          return;
        }
        coming.add(rented);
        fitting.add(rented);
      }
      take(job, fitting.get(next));
    }
  }

  /**
   * A machine that is too full for a task of the job, or in a zone that is closed to it, stays so
   * for the rest of the job in this round: the machines on their way are gone through once for each
   * job.
   */
  private void planJob(Job job) {
    boolean ownedFits = cluster.ownedCouldFit(job, nowMicros);
    int waiting = job.waitingCount();
    int next = 0;
    boolean more = true;
    List<Coming> fitting = fitting(job);
    for (int task = job.nextWaiting(0); task >= 0 && more; task = job.nextWaiting(task + 1)) {
      if (!room.teamAllows(job)) {
        return;
      }
      if (ownedFits && nowMicros - job.waitingSinceMicros(task) < policy.thresholdMicros()) {
        continue;
      }
      while (next < fitting.size() && !takes(job, fitting.get(next))) {
        next++;
      }
      if (next == fitting.size()) {
        Coming rented = rent(job, ownedFits, waiting, !ownedFits || steadyToo(job, task));
        more = rented != null;
        if (more) {
          coming.add(rented);
          fitting.add(rented);
          take(job, rented);
        }
      } else {
        take(job, fitting.get(next));
      }
      waiting--;
    }
  }

  /**
   * A steady machine costs a multiple of a cheap one. Work that may use either, and need not start
   * at once, spends some of the time it has to spare on waiting for cheap or owned room. What no
   * owned machine could take is never held.
   */
  private boolean steadyToo(Job job, int task) {
    if (lackMilliCpus > 0
        || !job.spec.spotAllowed()
        || cluster.deployment.objectives().wantsPromptStart(job.spec)) {
      return true;
    }
    List<Long> dues = cluster.deployment.objectives().dueMicros(job.spec);
    long spare = dues.isEmpty() ? 0 : dues.get(0) - cluster.runTimes.mostMicros(job);
    return nowMicros - job.waitingSinceMicros(task) >= policy.patience() * spare;
  }

  /** What is on its way and could take a task of the job, cheap machines first. */
  private List<Coming> fitting(Job job) {
    List<Coming> fitting = new ArrayList<>();
    for (boolean spot : new boolean[] {true, false}) {
      for (Coming machine : coming) {
        if (machine.spot == spot && takes(job, machine)) {
          fitting.add(machine);
        }
      }
    }
    return fitting;
  }

  private boolean takes(Job job, Coming machine) {
    return job.spec.perTask().fits(machine.free)
        && suits(job, machine.type, machine.zone, machine.spot);
  }

  private void take(Job job, Coming machine) {
    machine.free = machine.free.minus(job.spec.perTask());
    room.count(job, machine.zone);
  }

  private boolean suits(Job job, MachineType type, String zone, boolean spot) {
    JobSpec spec = job.spec;
    return (!spot || spec.spotAllowed())
        && (spec.types() == null || spec.types().contains(type.name()))
        && room.zoneAllows(job, zone);
  }

  /** Rents one more machine for the job; null if none is to be had for it. */
  private Coming rent(Job job, boolean counted, int waiting, boolean steadyToo) {
    if (counted && budgetLeft < 1) {
      return null;
    }
    boolean spotToo =
        policy.spotMode() == OperatorPolicy.SpotMode.ALWAYS
            || (policy.spotMode() == OperatorPolicy.SpotMode.UNCOUNTED && !counted);
    ScaleOutRequest best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : cluster.types.values()) {
      long fit = job.spec.perTask().timesIn(type.capacity());
      if (fit == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          if (spot ? !spotToo : spotToo && !steadyToo) {
            continue;
          }
          ScaleOutRequest rental = new ScaleOutRequest(type, zone, spot, 1, counted);
          if (!suits(job, type, zone, spot)
              || asked(rental) >= most.applyAsInt(rental.capacityPool())) {
            continue;
          }
          // A big machine is cheap per task only if there are tasks to fill it.
          boolean lacking = lackMilliCpus > 0 && spot;
          double cost =
              (lacking ? LACKING : 0)
                  + type.price(spot) / Math.min(fit, Math.max(1, waiting))
                  + 1e-4 * perShelf.getOrDefault(rental.capacityPool(), 0)
                  + (job.spec.kind() == JobKind.SERVICE ? 1e-3 * room.planned(job, zone) : 0);
          if (cost < bestCost) {
            best = rental;
            bestCost = cost;
          }
        }
      }
    }
    if (best == null) {
      return null;
    }
    perShelf.merge(best.capacityPool(), 1, Integer::sum);
    if (!best.spot() && job.spec.priority() != Priority.PRODUCTION) {
      lackMilliCpus -= best.type().capacity().milliCpus();
    }
    if (counted) {
      budgetLeft--;
    }
    scaleOut.merge(
        new RentalKey(best.capacityPool(), counted),
        best,
        (a, b) -> new ScaleOutRequest(a.type(), a.zone(), a.spot(), a.count() + 1, a.counted()));
    return new Coming(best.type(), best.zone(), best.spot(), best.type().capacity());
  }

  private int asked(ScaleOutRequest rental) {
    ScaleOutRequest so = scaleOut.get(new RentalKey(rental.capacityPool(), rental.counted()));
    return so == null ? 0 : so.count();
  }
}
