package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * Decides which running tasks make room: for a task of higher priority, or for one within its
 * team's guarantee at the cost of teams beyond theirs. A pure function of what it is given.
 */
public final class Preemption {
  /** Processor seconds of other work that a second of fetching is worth. */
  private static final double FETCH_WEIGHT = 40;

  private final Cluster cluster;
  private final OperatorPolicy policy;
  private final long nowMicros;
  private final Map<Machine, Resources> coming = new HashMap<>();
  private final Map<String, Resources> usage;
  private final Set<Assignment> victims = new LinkedHashSet<>();

  /** Jobs for which no room was left to be made. */
  private final List<Job> inVain = new ArrayList<>();

  private final Demand demand;
  private final List<Machine> usable = new ArrayList<>();

  /** What would have to be stopped on a machine for a task of the job, and what is lost by it. */
  private record Option(Machine machine, List<Assignment> stops, double loss)
      implements Comparable<Option> {
    @Override
    public int compareTo(Option other) {
      return Double.compare(loss, other.loss);
    }
  }

  private Preemption(Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {
    this.cluster = cluster;
    this.policy = policy;
    this.nowMicros = nowMicros;
    this.demand = demand;
    usage = cluster.usage();
    for (Machine machine : cluster.machines.values()) {
      if (machine.usable(nowMicros, cluster.deployment.workers().reportMicros())
          && machine.reclaimMicros < 0) {
        usable.add(machine);
      }
    }
  }

  /** To be called after placement: whatever still waits has found no free room. */
  public static Set<Assignment> plan(
      Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {
    Preemption preemption = new Preemption(cluster, policy, demand, nowMicros);
    RoundUsage room = new RoundUsage(cluster);
    for (Job job : demand.waiting()) {
      boolean mayStopAnything =
          job.spec.priority() == Priority.PRODUCTION || demand.guaranteed().contains(job);
      if (mayStopAnything
          && !job.failing()
          && job.nextWaiting(0) >= 0
          && demand.confidence().suffices(job)
          && !preemption.hopeless(job)) {
        if (job.spec.kind() == JobKind.GANG) {
          preemption.makeRoomForGang(job, room);
        } else {
          preemption.new Making(job, room).forEach();
        }
      }
    }
    return preemption.victims;
  }

  /**
   * An earlier job that was no choosier found nothing left to stop, and there is only less by now.
   * With many jobs waiting, looking at each machine for each of them took most of the processor.
   */
  private boolean hopeless(Job job) {
    return inVain.stream()
        .anyMatch(
            other ->
                other.team.equals(job.team)
                    && other.spec.kind() == job.spec.kind()
                    && other.spec.priority() == job.spec.priority()
                    && demand.guaranteed().contains(other) == demand.guaranteed().contains(job)
                    && other.spec.spotAllowed() == job.spec.spotAllowed()
                    && Objects.equals(other.spec.types(), job.spec.types())
                    && other.spec.zone() == null
                    && !other.spec.oneZone()
                    && !other.spec.spread()
                    && other.spec.perTask().fits(job.spec.perTask()));
  }

  /**
   * A gang starts with all its tasks or not at all: unless room for all that wait can be made,
   * nothing is stopped for it. The placer keeps what is stopped here for the gang.
   */
  private void makeRoomForGang(Job job, RoundUsage room) {
    if (!job.gangAcceptsPlacement()) {
      return;
    }
    Making making = new Making(job, room.copy());
    if (making.most() < job.waitingCount()) {
      return;
    }
    Map<Machine, Resources> comingBefore = new HashMap<>(coming);
    Map<String, Resources> usageBefore = new HashMap<>(usage);
    Set<Assignment> victimsBefore = new LinkedHashSet<>(victims);
    if (making.forEach() < job.waitingCount()) {
      coming.clear();
      coming.putAll(comingBefore);
      usage.clear();
      usage.putAll(usageBefore);
      victims.clear();
      victims.addAll(victimsBefore);
    } else {
      making.chosen.forEach(machine -> room.count(job, machine.zone));
    }
  }

  /**
   * Each machine is looked at once for the job, and again only after something was stopped on it.
   */
  private final class Making {
    private final Job job;
    private final RoundUsage room;
    private final boolean ownedFits;
    private final PriorityQueue<Option> owned = new PriorityQueue<>();
    private final PriorityQueue<Option> rented = new PriorityQueue<>();
    private final List<Machine> chosen = new ArrayList<>();

    Making(Job job, RoundUsage room) {
      this.job = job;
      this.room = room;
      ownedFits = cluster.ownedCouldFit(job, nowMicros);
      for (Machine machine : usable) {
        if (cluster.allowed(job, machine) && job.spec.perTask().fits(machine.type.capacity())) {
          offer(job, machine, machine.owned ? owned : rented);
        }
      }
    }

    /** For how many tasks there could be room at the most. */
    int most() {
      long most = 0;
      for (PriorityQueue<Option> queue : List.of(owned, rented)) {
        for (Option option : queue) {
          most += job.spec.perTask().timesIn(option.machine().type.capacity());
        }
      }
      return (int) Math.min(Integer.MAX_VALUE, most);
    }

    /** Makes room for each task that waits, as far as there is any; for how many. */
    int forEach() {
      for (int task = job.nextWaiting(0); task >= 0; task = job.nextWaiting(task + 1)) {
        if (owned.isEmpty() && rented.isEmpty()) {
          inVain.add(job);
          break;
        }
        if (!room.teamAllows(job)) {
          break;
        }
        if (job.ready(task, nowMicros)) {
          makeRoom(task);
        }
      }
      return chosen.size();
    }

    private void makeRoom(int task) {
      // Room on a machine that the task may not use yet would go to another, and be made
      // again and
      // again.
      boolean rentedToo =
          !ownedFits || nowMicros - job.waitingSinceMicros(task) >= policy.thresholdMicros();
      Option fromOwned = cheapest(job, owned, room);
      Option fromRented = rentedToo ? cheapest(job, rented, room) : null;
      boolean useOwned =
          fromOwned != null && (fromRented == null || fromOwned.loss() <= fromRented.loss());
      Option option = useOwned ? fromOwned : fromRented;
      if (option == null) {
        return;
      }
      PriorityQueue<Option> queue = useOwned ? owned : rented;
      queue.poll();
      Resources freed = free(option.machine());
      for (Assignment victim : option.stops()) {
        victims.add(victim);
        freed = freed.plus(victim.resources);
        usage.merge(victim.team, victim.resources, Resources::minus);
      }
      coming.put(option.machine(), freed.minus(job.spec.perTask()));
      room.count(job, option.machine().zone);
      chosen.add(option.machine());
      offer(job, option.machine(), queue);
    }
  }

  private void offer(Job job, Machine machine, PriorityQueue<Option> queue) {
    List<Assignment> stops = stopsFor(job, machine);
    if (stops != null) {
      queue.add(new Option(machine, stops, loss(stops) + fetching(job, machine)));
    }
  }

  /** Room is made in a hurry: where the image has to be fetched first, it is worth less. */
  private static double fetching(Job job, Machine machine) {
    boolean hurried = job.spec.priority() == Priority.PRODUCTION || job.spec.kind() == JobKind.GANG;
    return !hurried || machine.hasImage(job.spec.image())
        ? 0
        : FETCH_WEIGHT * job.spec.imageGb() / machine.type.fetchGbPerS();
  }

  /**
   * The option that loses least and still holds; zones close, and teams come to be within their
   * guarantee.
   */
  private Option cheapest(Job job, PriorityQueue<Option> queue, RoundUsage room) {
    while (!queue.isEmpty()) {
      Option option = queue.peek();
      if (!room.zoneAllows(job, option.machine().zone)) {
        queue.poll();
      } else if (!option.stops().stream().allMatch(stop -> mayStop(job, stop))) {
        queue.poll();
        offer(job, option.machine(), queue);
      } else {
        return option;
      }
    }
    return null;
  }

  /**
   * Free room of the machine once everything that is being stopped, or ends by itself, has gone.
   */
  private Resources free(Machine machine) {
    return coming.computeIfAbsent(machine, m -> cluster.freeSoon(m, nowMicros));
  }

  /** The cheapest stops that make the task fit; empty if it will fit anyway, null if none do. */
  private List<Assignment> stopsFor(Job job, Machine machine) {
    Resources free = free(machine);
    if (job.spec.perTask().fits(free)) {
      return List.of();
    }
    List<Assignment> stops = new ArrayList<>();
    List<Assignment> candidates = new ArrayList<>();
    for (Assignment assignment : machine.assignments.values()) {
      if (!assignment.evicting
          && !assignment.completed
          && assignment.durable
          && !victims.contains(assignment)
          && assignment.job != null
          && assignment.job.spec.kind() != JobKind.GANG
          && mayStop(job, assignment)
          && !cluster.endsSoon(assignment, nowMicros)) {
        candidates.add(assignment);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::loss));
    for (Assignment candidate : candidates) {
      stops.add(candidate);
      free = free.plus(candidate.resources);
      if (job.spec.perTask().fits(free)) {
        return stops;
      }
    }
    return null;
  }

  private boolean mayStop(Job job, Assignment victim) {
    boolean guaranteed = demand.guaranteed().contains(job);
    if (job.spec.priority().above(victim.job.spec.priority())) {
      return job.spec.priority() == Priority.PRODUCTION || guaranteed;
    }
    Resources theirs = usage.getOrDefault(victim.team, Resources.NONE);
    return guaranteed
        && victim.job.spec.kind() != JobKind.SERVICE
        && !victim.job.team.equals(job.team)
        && !demand.guaranteed().contains(victim.job)
        && !victim.job.team.guarantees(theirs);
  }

  private double loss(List<Assignment> stops) {
    double loss = 0;
    for (Assignment stop : stops) {
      loss += loss(stop);
    }
    return loss;
  }

  /** Processor time that would be done again; services last. */
  private double loss(Assignment assignment) {
    if (assignment.job.spec.kind() == JobKind.SERVICE) {
      return 1e9;
    }
    long ran = assignment.runningMicros < 0 ? 0 : nowMicros - assignment.runningMicros;
    long since =
        assignment.job.spec.checkpointIntervalMicros() > 0
            ? Math.min(ran, assignment.job.spec.checkpointIntervalMicros())
            : ran;
    return (since / 1e6 + 1) * assignment.resources.milliCpus() / 1000;
  }
}
