package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.GangReservations;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * Assigns waiting tasks to machines (bin packing): to owned machines first, and to rented machines
 * once a task has waited for the policy's threshold or if it would not fit on any owned machine
 * even when empty. A pure function of its arguments.
 *
 * <p>Each machine with free capacity is evaluated once per job rather than once per task: all tasks
 * of a job have the same requirements, so a priority queue yields the best machine for the next
 * one.
 */
public final class Placer {
  /**
   * The longest time for which headroom is withheld from a task. Users consider a job neglected
   * after it has waited beside free capacity for 90 s; the difference allows for a failover and a
   * few rounds.
   */
  private static final long MAX_HEADROOM_WITHHELD_MICROS = 60_000_000;

  /** Limits the duration of a round; the next round places the remaining tasks. */
  private static final int MAX_PLACEMENTS_PER_ROUND = 400;

  private final PlanningRound round;
  private final Cluster cluster;
  private final long nowMicros;
  private final List<Placement> placements = new ArrayList<>();
  private final List<Machine> usableMachines = new ArrayList<>();

  /** Usable machines with free capacity for the minimum that any waiting task requests. */
  private final List<Machine> machinesWithCapacity = new ArrayList<>();

  /** Usable machines on which capacity is about to become free. */
  private final List<Machine> freeingMachines = new ArrayList<>();

  /** The machines with capacity that waiting gangs need, whether or not it is still reserved. */
  private final Set<Machine> neededByGangs = new LinkedHashSet<>();

  /** What is not used by production services, by usable machine; null until it is needed. */
  private Map<Machine, Resources> capacityWithoutServices;

  private final long headroomNanoCpus;
  private long freeNanoCpus;
  private RoundUsage usage;

  /** A machine on which the next task of a job fits, and the cost of placing it there. */
  private record Candidate(Machine machine, double cost) implements Comparable<Candidate> {
    @Override
    public int compareTo(Candidate other) {
      return Double.compare(cost, other.cost);
    }
  }

  private Placer(PlanningRound round) {
    this.round = round;
    cluster = round.cluster();
    nowMicros = round.nowMicros();
    usage = new RoundUsage(cluster);
    Resources minTaskResources = round.demand().minTaskResources();
    boolean gangIsWaiting =
        round.demand().waiting().stream().anyMatch(job -> job.spec.kind() == JobKind.GANG);
    long totalNanoCpus = 0;
    for (Machine machine : cluster.machines.values()) {
      if (round.usable(machine)) {
        totalNanoCpus += machine.type.capacity().nanoCpus();
        freeNanoCpus += machine.free().nanoCpus();
        if (machine.reclaimMicros < 0) {
          addUsableMachine(machine, minTaskResources, gangIsWaiting);
        }
      }
    }
    headroomNanoCpus =
        cluster.scaleOutTooSlow() ? (long) (totalNanoCpus * round.policy().headroom()) : 0;
  }

  private void addUsableMachine(
      Machine machine, Resources minTaskResources, boolean gangIsWaiting) {
    usableMachines.add(machine);
    if (machine.stopping() || (gangIsWaiting && hasTaskEndingSoon(machine))) {
      freeingMachines.add(machine);
    }
    // A machine on which any one resource is used up takes no task, however much of the others is
    // free.
    if (minTaskResources.fits(machine.free())) {
      machinesWithCapacity.add(machine);
    }
  }

  private boolean hasTaskEndingSoon(Machine machine) {
    return machine.assignments.values().stream().anyMatch(a -> cluster.endsSoon(a, nowMicros));
  }

  /**
   * Returns the placements of a round.
   *
   * @param nowMicros the time on the monotonic clock, in microseconds
   */
  public static PlacementPlan plan(
      Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {
    Placer placer = new Placer(new PlanningRound(cluster, policy, demand, nowMicros));
    for (Job job : demand.waiting()) {
      if (placer.roundIsFull()) {
        // Gangs that come later in the order still need what they needed before.
        placer.neededByGangs.addAll(cluster.gangReservations.needed());
        break;
      }
      if (placer.noCapacityLeft()) {
        break;
      }
      if (job.spec.kind() == JobKind.GANG) {
        placer.placeGang(job);
      } else {
        placer.placeTasks(job);
      }
    }
    return new PlacementPlan(placer.placements, placer.neededByGangs);
  }

  private boolean roundIsFull() {
    return placements.size() >= MAX_PLACEMENTS_PER_ROUND;
  }

  private boolean noCapacityLeft() {
    return machinesWithCapacity.isEmpty() && freeingMachines.isEmpty();
  }

  private void placeTasks(Job job) {
    PriorityQueue<Candidate> candidates = candidates(job);
    boolean fitsOwned = round.ownedCouldFit(job);
    for (int task = job.nextWaiting(0);
        task >= 0 && !candidates.isEmpty() && placements.size() < MAX_PLACEMENTS_PER_ROUND;
        task = job.nextWaiting(task + 1)) {
      if (!canStart(job, task)) {
        continue;
      }
      if (!usage.teamAllows(job) || usesWithheldHeadroom(job, task)) {
        return;
      }
      boolean rentedAllowed = !fitsOwned || round.waitedThreshold(job, task);
      if (place(job, task, candidates, rentedAllowed) && job.failing()) {
        return;
      }
    }
  }

  private boolean canStart(Job job, int task) {
    return job.ready(task, nowMicros) && !cluster.hasOrphan(job.spec.id(), task);
  }

  /**
   * Whether the task would use headroom that is still withheld from it. Headroom is kept free for
   * jobs that must start sooner than a machine boots; other jobs scale out instead. Withholding
   * ends after {@link #MAX_HEADROOM_WITHHELD_MICROS}: without that bound, these jobs waited beside
   * free capacity for as long as the cloud had no machines.
   */
  private boolean usesWithheldHeadroom(Job job, int task) {
    return Priority.HIGH.isHigherThan(job.spec.priority())
        && !round.guaranteed(job)
        && nowMicros - job.waitingSinceMicros(task) < MAX_HEADROOM_WITHHELD_MICROS
        && freeNanoCpus - job.spec.resourcesPerTask().nanoCpus() < headroomNanoCpus;
  }

  /**
   * Places all waiting tasks of a gang or none. A gang that is still gathering receives its missing
   * tasks under its current attempt number. If capacity is insufficient, the machines found and
   * those about to become free are reserved for the gang in this round: otherwise tasks of later
   * jobs would refill each machine that the gang waits for.
   */
  private void placeGang(Job job) {
    if (!job.gangAcceptsPlacement()) {
      return;
    }
    PriorityQueue<Candidate> candidates = candidates(job);
    if (candidates.isEmpty()) {
      reserveForGang(job, List.of());
      return;
    }
    RoundUsage usageBefore = usage.copy();
    long freeNanoCpusBefore = freeNanoCpus;
    int placementCountBefore = placements.size();
    boolean fitsOwned = round.ownedCouldFit(job);
    for (int task = job.nextWaiting(0); task >= 0; task = job.nextWaiting(task + 1)) {
      boolean taskAllowed = canStart(job, task) && usage.teamAllows(job);
      if (!taskAllowed || !placeGangTask(job, task, candidates, fitsOwned)) {
        List<Placement> partialPlacements =
            placements.subList(placementCountBefore, placements.size());
        usage = usageBefore;
        freeNanoCpus = freeNanoCpusBefore;
        if (taskAllowed) {
          reserveForGang(job, partialPlacements);
        }
        partialPlacements.clear();
        return;
      }
    }
  }

  private boolean placeGangTask(
      Job job, int task, PriorityQueue<Candidate> candidates, boolean fitsOwned) {
    boolean rentedAllowed = !fitsOwned || round.waitedThreshold(job, task);
    return place(job, task, candidates, rentedAllowed);
  }

  /**
   * Reserves the machines of a gang's partial placement, and machines that are about to become free
   * for its other tasks. Reserves nothing for a gang that would not fit even if all work but
   * production services had ended: these neither end nor are they preempted. What else the gang
   * waits for may take any time too, so {@link GangReservations} limits each reservation.
   */
  private void reserveForGang(Job job, List<Placement> partialPlacements) {
    if ((partialPlacements.isEmpty() && freeingMachines.isEmpty()) || !couldFitGang(job)) {
      return;
    }
    int missingTasks = job.waitingCount() - partialPlacements.size();
    partialPlacements.forEach(placement -> reserveForGangs(placement.machine()));
    for (Machine machine : freeingMachines) {
      if (missingTasks > 0
          && !usage.reserved(machine)
          && cluster.allowed(job, machine)
          && job.spec.resourcesPerTask().fits(cluster.freeSoon(machine, nowMicros))) {
        reserveForGangs(machine);
        missingTasks--;
      }
    }
  }

  private void reserveForGangs(Machine machine) {
    neededByGangs.add(machine);
    if (cluster.gangReservations.mayReserve(machine, nowMicros)) {
      usage.reserve(machine);
    }
  }

  private boolean couldFitGang(Job gang) {
    if (capacityWithoutServices == null) {
      capacityWithoutServices = new LinkedHashMap<>();
      for (Machine machine : usableMachines) {
        capacityWithoutServices.put(machine, machine.capacityWithoutProductionServices());
      }
    }
    return cluster.couldFitGang(gang, capacityWithoutServices);
  }

  /** Returns the machines on which a task of the job fits now, cheapest first. */
  private PriorityQueue<Candidate> candidates(Job job) {
    PriorityQueue<Candidate> candidates = new PriorityQueue<>();
    for (Machine machine : machinesWithCapacity) {
      if (fits(job, machine)
          && !machine.atTaskLimit(usage.addedTasks(job, machine))
          && cluster.allowed(job, machine)
          && (!job.failedRecentlyOn(machine.id, nowMicros) || job.failing())) {
        candidates.add(new Candidate(machine, PlacementCost.seconds(job, machine, usage)));
      }
    }
    return candidates;
  }

  private boolean fits(Job job, Machine machine) {
    return job.spec.resourcesPerTask().fits(usage.free(machine));
  }

  /**
   * Places the task on the cheapest candidate, which remains a candidate while another task fits.
   *
   * @return false if no candidate may take the task
   */
  private boolean place(
      Job job, int task, PriorityQueue<Candidate> candidates, boolean rentedAllowed) {
    while (!candidates.isEmpty()) {
      Machine machine = candidates.peek().machine();
      if (!machine.owned && !rentedAllowed) {
        return false;
      }
      candidates.poll();
      // The set of zones that a job may use only shrinks within a round, so the candidate is
      // dropped.
      if (!usage.zoneAllows(job, machine.zone)) {
        continue;
      }
      usage.addTask(job, machine);
      freeNanoCpus -= job.spec.resourcesPerTask().nanoCpus();
      placements.add(new Placement(job, task, machine));
      if (fits(job, machine) && !machine.atTaskLimit(usage.addedTasks(job, machine))) {
        candidates.add(new Candidate(machine, PlacementCost.seconds(job, machine, usage)));
      }
      return true;
    }
    return false;
  }
}
