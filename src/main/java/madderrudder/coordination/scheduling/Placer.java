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
 * Decides which waiting tasks go where: free owned room first, and rented room once a task has
 * waited the threshold or when no owned machine could ever take it. A pure function of what it is
 * given.
 *
 * <p>The machines with room are looked at once for each job, not for each task: the tasks of a job
 * are alike, so the best machine for the next one is found in a queue.
 */
public final class Placer {
  /**
   * What another replica on the machine weighs, in seconds of fetching: of the same job, of any.
   * One machine's end should take few replicas with it, since they are missing for a whole lease;
   * but a fetch costs every replica its time, so that a handful of neighbours weighs less than a
   * common image.
   */
  private static final double SAME_JOB_S = 0.6;

  private static final double NEIGHBOUR_S = 0.15;
  private static final double RENTED_S = 1000;
  private static final double STEADY_S = 2;

  /**
   * Users count a job that has waited for 90 s beside room as neglected; a change of leader and a
   * few rounds come in between.
   */
  private static final long MOST_HELD_BACK_MICROS = 60_000_000;

  /**
   * A round places this many tasks at most, so that it stays short; what is left comes in the next.
   */
  private static final int MOST_PLACEMENTS = 400;

  private final Cluster cluster;
  private final OperatorPolicy policy;
  private final long nowMicros;
  private final List<Placement> placements = new ArrayList<>();
  private final Demand demand;
  private final List<Machine> usable = new ArrayList<>();
  private final List<Machine> open = new ArrayList<>();
  private final List<Machine> freeing = new ArrayList<>();
  private final long keptMilliCpus;
  private long freeMilliCpus;
  private RoundUsage room;

  /** A machine that could take the next task of a job, and at what cost. */
  private record Candidate(Machine machine, double cost) implements Comparable<Candidate> {
    @Override
    public int compareTo(Candidate other) {
      return Double.compare(cost, other.cost);
    }
  }

  private Placer(Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {
    this.cluster = cluster;
    this.policy = policy;
    this.demand = demand;
    this.nowMicros = nowMicros;
    room = new RoundUsage(cluster);
    Resources least = demand.leastPerTask();
    boolean gangWaits = demand.waiting().stream().anyMatch(job -> job.spec.kind() == JobKind.GANG);
    long all = 0;
    for (Machine machine : cluster.machines.values()) {
      if (machine.usable(nowMicros, cluster.deployment.workers().reportMicros())) {
        all += machine.type.capacity().milliCpus();
        freeMilliCpus += machine.free().milliCpus();
        if (machine.reclaimMicros < 0) {
          usable.add(machine);
          if (machine.stopping() || (gangWaits && endsSoon(machine))) {
            freeing.add(machine);
          }
          // A machine whose scarcest resource is used up takes nothing, however much is left of the
          // others.
          if (least.fits(machine.free())) {
            open.add(machine);
          }
        }
      }
    }
    keptMilliCpus = cluster.rentingTooSlow() ? (long) (all * policy.headroom()) : 0;
  }

  public static List<Placement> plan(
      Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {
    Placer placer = new Placer(cluster, policy, demand, nowMicros);
    for (Job job : demand.waiting()) {
      if ((placer.open.isEmpty() && placer.freeing.isEmpty())
          || placer.placements.size() >= MOST_PLACEMENTS) {
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

  private boolean endsSoon(Machine machine) {
    return machine.assignments.values().stream().anyMatch(a -> cluster.endsSoon(a, nowMicros));
  }

  private void planTasks(Job job) {
    PriorityQueue<Candidate> candidates = candidates(job);
    boolean ownedFits = cluster.ownedCouldFit(job, nowMicros);
    for (int task = job.nextWaiting(0);
        task >= 0 && !candidates.isEmpty() && placements.size() < MOST_PLACEMENTS;
        task = job.nextWaiting(task + 1)) {
      if (!startable(job, task)) {
        continue;
      }
      if (!room.teamAllows(job) || eatsHeadroom(job, task)) {
        return;
      }
      if (place(job, task, candidates, !ownedFits || waited(job, task), 0) && job.failing()) {
        return;
      }
    }
  }

  private boolean startable(Job job, int task) {
    return job.ready(task, nowMicros) && !cluster.orphaned(job.spec.id(), task);
  }

  private boolean waited(Job job, int task) {
    return nowMicros - job.waitingSinceMicros(task) >= policy.thresholdMicros();
  }

  /**
   * Room for work that must start sooner than a machine boots; what is ordinary rents instead.
   * Where nothing can be had it once waited beside that room for as long as the shortage lasted.
   */
  private boolean eatsHeadroom(Job job, int task) {
    return Priority.HIGH.above(job.spec.priority())
        && !demand.guaranteed().contains(job)
        && nowMicros - job.waitingSinceMicros(task) < MOST_HELD_BACK_MICROS
        && freeMilliCpus - job.spec.perTask().milliCpus() < keptMilliCpus;
  }

  /**
   * All tasks or none; a gang that still gathers gets what it lacks, under the attempt it has. What
   * there is for one that lacks room is kept for it in this round, with what is about to come free:
   * whatever comes after it would otherwise refill, task by task, each whole machine that it waits
   * for.
   */
  private void planGang(Job job) {
    if (!job.gangAcceptsPlacement()) {
      return;
    }
    PriorityQueue<Candidate> candidates = candidates(job);
    if (candidates.isEmpty()) {
      keep(job, List.of());
      return;
    }
    RoundUsage before = room.copy();
    long freeBefore = freeMilliCpus;
    int placed = placements.size();
    boolean ownedFits = cluster.ownedCouldFit(job, nowMicros);
    for (int task = job.nextWaiting(0); task >= 0; task = job.nextWaiting(task + 1)) {
      boolean may = startable(job, task) && room.teamAllows(job);
      if (!may || !place(job, task, candidates, !ownedFits || waited(job, task), job.gangAttempt)) {
        List<Placement> found = placements.subList(placed, placements.size());
        room = before;
        freeMilliCpus = freeBefore;
        if (may) {
          keep(job, found);
        }
        found.clear();
        return;
      }
    }
  }

  /** Nothing is kept for a gang that these machines could not hold even if they were empty. */
  private void keep(Job job, List<Placement> found) {
    if ((found.isEmpty() && freeing.isEmpty()) || !cluster.couldHold(job, usable)) {
      return;
    }
    int lacking = job.waitingCount() - found.size();
    found.forEach(placement -> room.keep(placement.machine()));
    for (Machine machine : freeing) {
      if (lacking > 0
          && !room.kept(machine)
          && cluster.allowed(job, machine)
          && job.spec.perTask().fits(cluster.freeSoon(machine, nowMicros))) {
        room.keep(machine);
        lacking--;
      }
    }
  }

  /** The machines that could take a task of the job now, owned ones first. */
  private PriorityQueue<Candidate> candidates(Job job) {
    PriorityQueue<Candidate> candidates = new PriorityQueue<>();
    for (Machine machine : open) {
      if (fits(job, machine)
          && !machine.atTaskLimit(room.added(job, machine))
          && cluster.allowed(job, machine)
          && (!job.failedOn(machine.id, nowMicros) || job.failing())) {
        candidates.add(new Candidate(machine, cost(job, machine)));
      }
    }
    return candidates;
  }

  private boolean fits(Job job, Machine machine) {
    return job.spec.perTask().fits(room.free(machine));
  }

  /**
   * False if no machine takes the task; a machine stays a candidate for as long as another task
   * fits.
   */
  private boolean place(
      Job job, int task, PriorityQueue<Candidate> candidates, boolean rentedToo, long attempt) {
    while (!candidates.isEmpty()) {
      Machine machine = candidates.peek().machine();
      if (!machine.owned && !rentedToo) {
        return false;
      }
      candidates.poll();
      // Within a round the zones a job may use only become fewer.
      if (!room.zoneAllows(job, machine.zone)) {
        continue;
      }
      room.take(job, machine);
      freeMilliCpus -= job.spec.perTask().milliCpus();
      placements.add(new Placement(job, task, machine, attempt));
      if (fits(job, machine) && !machine.atTaskLimit(room.added(job, machine))) {
        candidates.add(new Candidate(machine, cost(job, machine)));
      }
      return true;
    }
    return false;
  }

  /** Seconds of fetching, and a little for what fits badly; owned room always goes first. */
  private double cost(Job job, Machine machine) {
    JobSpec spec = job.spec;
    double cost = machine.owned ? 0 : RENTED_S;
    if (!machine.hasImage(spec.image())) {
      cost += spec.imageGb() / machine.type.fetchGbPerS();
    }
    long left = room.free(machine).milliCpus() - spec.perTask().milliCpus();
    cost += (double) left / Math.max(1, machine.type.capacity().milliCpus());
    if (spec.spotAllowed() && !machine.spot) {
      cost += STEADY_S;
    }
    if (spec.kind() == JobKind.SERVICE) {
      cost += room.added(job, machine) * SAME_JOB_S;
      for (Assignment assignment : machine.assignments.values()) {
        if (assignment.job != null && assignment.job.spec.kind() == JobKind.SERVICE) {
          cost += assignment.job == job ? SAME_JOB_S : NEIGHBOUR_S;
        }
      }
    }
    return cost;
  }
}
