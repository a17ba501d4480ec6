package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * Decides which waiting tasks go to which machines (bin packing): to free owned machines first, and
 * to rented ones once a task has waited the policy's threshold or when no owned machine could ever
 * take it. A pure function of what it is given.
 *
 * <p>The machines with free capacity are looked at once for each job, not for each task: the tasks
 * of a job are alike, so that the best machine for the next one is found in a priority queue.
 */
public final class Placer {
  /**
   * The cost of another replica on the machine, of the same job and of any, in seconds of fetching
   * an image. The end of one machine should take few replicas with it, since they are missing for a
   * whole lease; but a fetch costs every replica its time, so that a handful of neighbours weighs
   * less than a common image.
   */
  private static final double SAME_JOB_S = 0.6;

  private static final double NEIGHBOUR_S = 0.15;

  /** The cost of a rented machine: above all others, so that owned ones always go first. */
  private static final double RENTED_S = 1000;

  /** The cost of a steady machine for work that may use spot instances. */
  private static final double STEADY_S = 2;

  /**
   * For how long headroom is withheld from a task. Users count a job that has waited for 90 s
   * beside free capacity as neglected; a failover and a few rounds come in between.
   */
  private static final long MOST_WITHHELD_MICROS = 60_000_000;

  /** The most placements of a round, so that it stays short; what is left comes in the next. */
  private static final int MOST_PLACEMENTS = 400;

  private final PlanningRound round;
  private final Cluster cluster;
  private final long nowMicros;
  private final List<Placement> placements = new ArrayList<>();
  private final List<Machine> usable = new ArrayList<>();

  /** Usable machines with capacity for the smallest task that waits. */
  private final List<Machine> withCapacity = new ArrayList<>();

  /** Usable machines on which capacity is about to come free. */
  private final List<Machine> freeing = new ArrayList<>();

  private final long headroomMilliCpus;
  private long freeMilliCpus;
  private RoundUsage usage;

  /** A machine that could take the next task of a job, and at what cost. */
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
    Resources smallest = round.demand().leastPerTask();
    boolean gangWaits =
        round.demand().waiting().stream().anyMatch(job -> job.spec.kind() == JobKind.GANG);
    long totalMilliCpus = 0;
    for (Machine machine : cluster.machines.values()) {
      if (round.usable(machine)) {
        totalMilliCpus += machine.type.capacity().milliCpus();
        freeMilliCpus += machine.free().milliCpus();
        if (machine.reclaimMicros < 0) {
          addUsable(machine, smallest, gangWaits);
        }
      }
    }
    headroomMilliCpus =
        cluster.scaleOutTooSlow() ? (long) (totalMilliCpus * round.policy().headroom()) : 0;
  }

  private void addUsable(Machine machine, Resources smallest, boolean gangWaits) {
    usable.add(machine);
    if (machine.stopping() || (gangWaits && endsSoon(machine))) {
      freeing.add(machine);
    }
    // A machine whose scarcest resource is used up takes nothing, however much is left of the
    // others.
    if (smallest.fits(machine.free())) {
      withCapacity.add(machine);
    }
  }

  private boolean endsSoon(Machine machine) {
    return machine.assignments.values().stream().anyMatch(a -> cluster.endsSoon(a, nowMicros));
  }

  /** The placements of a round, in the order in which jobs are to get capacity. */
  public static List<Placement> plan(
      Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {
    Placer placer = new Placer(new PlanningRound(cluster, policy, demand, nowMicros));
    for (Job job : demand.waiting()) {
      if (placer.done()) {
        break;
      }
      if (job.spec.kind() == JobKind.GANG) {
        placer.planGang(job);
      } else {
        placer.planTasks(job);
      }
    }
    return placer.placements;
  }

  private boolean done() {
    return (withCapacity.isEmpty() && freeing.isEmpty()) || placements.size() >= MOST_PLACEMENTS;
  }

  private void planTasks(Job job) {
    PriorityQueue<Candidate> candidates = candidates(job);
    boolean ownedFits = round.ownedCouldFit(job);
    for (int task = job.nextWaiting(0);
        task >= 0 && !candidates.isEmpty() && placements.size() < MOST_PLACEMENTS;
        task = job.nextWaiting(task + 1)) {
      if (!startable(job, task)) {
        continue;
      }
      if (!usage.teamAllows(job) || needsHeadroom(job, task)) {
        return;
      }
      boolean rentedAllowed = !ownedFits || round.waitedThreshold(job, task);
      if (place(job, task, candidates, rentedAllowed) && job.failing()) {
        return;
      }
    }
  }

  private boolean startable(Job job, int task) {
    return job.ready(task, nowMicros) && !cluster.hasOrphan(job.spec.id(), task);
  }

  /**
   * Whether the task would use up the headroom, which is for work that must start sooner than a
   * machine boots; ordinary work scales out instead. Where no machine was to be had, ordinary work
   * once waited beside the headroom for as long as the shortage lasted.
   */
  private boolean needsHeadroom(Job job, int task) {
    return Priority.HIGH.above(job.spec.priority())
        && !round.guaranteed(job)
        && nowMicros - job.waitingSinceMicros(task) < MOST_WITHHELD_MICROS
        && freeMilliCpus - job.spec.perTask().milliCpus() < headroomMilliCpus;
  }

  /**
   * Places all tasks of a gang or none; a gang that still gathers gets what it lacks, under the
   * attempt number it has. If there is not enough capacity, what there is is reserved for it in
   * this round, with what is about to come free: the jobs after it would otherwise refill, task by
   * task, each whole machine that it waits for.
   */
  private void planGang(Job job) {
    if (!job.gangAcceptsPlacement()) {
      return;
    }
    PriorityQueue<Candidate> candidates = candidates(job);
    if (candidates.isEmpty()) {
      reserveFor(job, List.of());
      return;
    }
    RoundUsage usageBefore = usage.copy();
    long freeBefore = freeMilliCpus;
    int placedBefore = placements.size();
    boolean ownedFits = round.ownedCouldFit(job);
    for (int task = job.nextWaiting(0); task >= 0; task = job.nextWaiting(task + 1)) {
      boolean allowed = startable(job, task) && usage.teamAllows(job);
      if (!allowed || !placeMember(job, task, candidates, ownedFits)) {
        List<Placement> partial = placements.subList(placedBefore, placements.size());
        usage = usageBefore;
        freeMilliCpus = freeBefore;
        if (allowed) {
          reserveFor(job, partial);
        }
        partial.clear();
        return;
      }
    }
  }

  private boolean placeMember(
      Job job, int task, PriorityQueue<Candidate> candidates, boolean ownedFits) {
    boolean rentedAllowed = !ownedFits || round.waitedThreshold(job, task);
    return place(job, task, candidates, rentedAllowed);
  }

  /**
   * Reserves the machines of a gang's partial placement, and machines that are about to come free
   * for its other tasks. Nothing is reserved for a gang that does not fit even on empty machines.
   */
  private void reserveFor(Job job, List<Placement> partial) {
    if ((partial.isEmpty() && freeing.isEmpty()) || !cluster.couldFitGang(job, usable)) {
      return;
    }
    int missing = job.waitingCount() - partial.size();
    partial.forEach(placement -> usage.reserve(placement.machine()));
    for (Machine machine : freeing) {
      if (missing > 0
          && !usage.reserved(machine)
          && cluster.allowed(job, machine)
          && job.spec.perTask().fits(cluster.freeSoon(machine, nowMicros))) {
        usage.reserve(machine);
        missing--;
      }
    }
  }

  /** The machines that could take a task of the job now, cheapest first. */
  private PriorityQueue<Candidate> candidates(Job job) {
    PriorityQueue<Candidate> candidates = new PriorityQueue<>();
    for (Machine machine : withCapacity) {
      if (fits(job, machine)
          && !machine.atTaskLimit(usage.added(job, machine))
          && cluster.allowed(job, machine)
          && (!job.failedOn(machine.id, nowMicros) || job.failing())) {
        candidates.add(new Candidate(machine, cost(job, machine)));
      }
    }
    return candidates;
  }

  private boolean fits(Job job, Machine machine) {
    return job.spec.perTask().fits(usage.free(machine));
  }

  /**
   * Places the task on the cheapest candidate, which stays one for as long as another task fits.
   *
   * @return false if no machine takes the task
   */
  private boolean place(
      Job job, int task, PriorityQueue<Candidate> candidates, boolean rentedAllowed) {
    while (!candidates.isEmpty()) {
      Machine machine = candidates.peek().machine();
      if (!machine.owned && !rentedAllowed) {
        return false;
      }
      candidates.poll();
      // Within a round the zones that a job may use only become fewer.
      if (!usage.zoneAllows(job, machine.zone)) {
        continue;
      }
      usage.take(job, machine);
      freeMilliCpus -= job.spec.perTask().milliCpus();
      placements.add(new Placement(job, task, machine));
      if (fits(job, machine) && !machine.atTaskLimit(usage.added(job, machine))) {
        candidates.add(new Candidate(machine, cost(job, machine)));
      }
      return true;
    }
    return false;
  }

  /** Seconds of fetching the image, and a little for what fits badly; owned machines go first. */
  private double cost(Job job, Machine machine) {
    JobSpec spec = job.spec;
    double cost = machine.owned ? 0 : RENTED_S;
    if (!machine.hasImage(spec.image())) {
      cost += spec.imageGb() / machine.type.fetchGbPerS();
    }
    long left = usage.free(machine).milliCpus() - spec.perTask().milliCpus();
    cost += (double) left / Math.max(1, machine.type.capacity().milliCpus());
    if (spec.spotAllowed() && !machine.spot) {
      cost += STEADY_S;
    }
    if (spec.kind() == JobKind.SERVICE) {
      cost += usage.added(job, machine) * SAME_JOB_S;
      for (Assignment assignment : machine.assignments.values()) {
        if (assignment.job != null && assignment.job.spec.kind() == JobKind.SERVICE) {
          cost += assignment.job == job ? SAME_JOB_S : NEIGHBOUR_S;
        }
      }
    }
    return cost;
  }
}
