package madderrudder.coordination.reconciliation;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import madderrudder.coordination.policy.Deployment.WorkerTimes;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobSpec;

/**
 * How much of the cluster a leader has heard from since it took over: which of the machines that
 * were up it still has to hear, by zone, type and team. What is free on those is not known, and
 * what runs there may need no capacity elsewhere. So nothing is preempted for a job and no machine
 * is rented for it before enough of the machines that it may use have been heard. That is awaited
 * for as long as a worker that can reach this leader may take to find it, and no longer.
 *
 * <p>Not changed once it is made. Confined to the event loop thread.
 */
public final class ClusterCoverage {
  /** The coverage of a leader that has heard all there is. */
  public static final ClusterCoverage FULL = new ClusterCoverage(true);

  /**
   * One machine in ten may be missing: among a thousand workers the last tenth takes as long to
   * report as all others, and what can be free on it is little beside what nine tenths have.
   */
  private static final int TENTHS_NEEDED = 9;

  /** A worker that a controller sent away, or that found none, tries the next after a second. */
  private static final long TRY_MICROS = 1_000_000;

  private final boolean overdue;
  private final Map<ZonePool, Count> pools = new TreeMap<>();
  private final Map<String, Count> teams = new TreeMap<>();
  private final Set<Machine> unheard = new HashSet<>();
  private final Set<String> cutOffZones = new HashSet<>();
  private final Count all = new Count();

  /** Machines of a type in a zone. */
  private record ZonePool(String zone, String type) implements Comparable<ZonePool> {
    @Override
    public int compareTo(ZonePool other) {
      int byZone = zone.compareTo(other.zone);
      return byZone != 0 ? byZone : type.compareTo(other.type);
    }
  }

  /** How many of the machines, or tasks, that are expected have been heard. */
  public static final class Count {
    private int expected;
    private int heard;

    private Count() {}

    private void add(boolean isHeard) {
      expected++;
      heard += isHeard ? 1 : 0;
    }

    private void add(Count other) {
      expected += other.expected;
      heard += other.heard;
    }

    private boolean enough() {
      return 10L * heard >= (long) TENTHS_NEEDED * expected;
    }

    private boolean hardlyAny() {
      return 10L * heard < (long) (10 - TENTHS_NEEDED) * expected;
    }

    /** The share that has been heard, from 0 to 1; 1 where nothing is expected. */
    public double share() {
      return expected == 0 ? 1 : (double) heard / expected;
    }
  }

  private ClusterCoverage(boolean overdue) {
    this.overdue = overdue;
  }

  /**
   * For how long workers are awaited, in microseconds: the interval between heartbeats with the
   * quarter that it may be longer, and a try at each controller.
   */
  public static long patienceMicros(WorkerTimes workers, int members) {
    return workers.reportMicros() * 5 / 4 + members * TRY_MICROS;
  }

  /**
   * The coverage of a leader.
   *
   * @param answeringMicros for how long it has answered workers
   * @param patienceMicros for how long workers are awaited
   */
  public static ClusterCoverage of(
      Cluster cluster, long answeringMicros, long patienceMicros, long wallMicros) {
    ClusterCoverage coverage = new ClusterCoverage(answeringMicros > patienceMicros);
    for (Machine machine : cluster.machines.values()) {
      if (machine.expectedUp(wallMicros)) {
        coverage.expect(machine);
      }
    }
    coverage.findCutOffZones();
    return coverage.unheard.isEmpty() ? FULL : coverage;
  }

  /**
   * A zone of which hardly any machine has reported, while another has been heard nearly whole, is
   * cut off rather than late. Waiting for it once kept work waiting in the zone that was there.
   */
  private void findCutOffZones() {
    Map<String, Count> zones = zones();
    if (zones.values().stream().noneMatch(Count::enough)) {
      return;
    }
    zones.forEach(
        (zone, count) -> {
          if (count.hardlyAny()) {
            cutOffZones.add(zone);
          }
        });
  }

  private void expect(Machine machine) {
    // A heartbeat that was not made in this term may be a late copy, of a machine that has died
    // since.
    boolean heard = (machine.reported && machine.reportedInTerm) || machine.leaseExpired;
    if (!heard) {
      unheard.add(machine);
    }
    all.add(heard);
    pools
        .computeIfAbsent(new ZonePool(machine.zone, machine.type.name()), pool -> new Count())
        .add(heard);
    for (Assignment assignment : machine.assignments.values()) {
      if (assignment.inherited) {
        teams.computeIfAbsent(assignment.team, team -> new Count()).add(heard);
      }
    }
  }

  /** Whether every machine that is expected has been heard. */
  public boolean complete() {
    return unheard.isEmpty();
  }

  /** Whether a machine that has not been heard by now is silent rather than on the way. */
  public boolean overdue() {
    return overdue;
  }

  /** Whether the machine was up, has not been heard yet, and is likely to report soon. */
  public boolean awaits(Machine machine) {
    return !overdue && unheard.contains(machine) && !cutOffZones.contains(machine.zone);
  }

  /** Whether the machine was up and should have been heard by now. */
  public boolean misses(Machine machine) {
    return unheard.contains(machine) && !awaits(machine);
  }

  /** Whether enough of all machines have been heard. */
  public boolean suffices() {
    return overdue || all.enough();
  }

  /** Whether enough of the machines that the job may use have been heard. */
  public boolean suffices(Job job) {
    if (overdue) {
      return true;
    }
    Count usable = new Count();
    pools.forEach(
        (pool, count) -> {
          if (mayUse(job.spec, pool)) {
            usable.add(count);
          }
        });
    return usable.enough();
  }

  private boolean mayUse(JobSpec spec, ZonePool pool) {
    return !cutOffZones.contains(pool.zone())
        && (spec.zone() == null || spec.zone().equals(pool.zone()))
        && (spec.types() == null || spec.types().contains(pool.type()));
  }

  /** The share of all expected machines that has been heard, from 0 to 1. */
  public double share() {
    return all.share();
  }

  /** How many machines of each zone have been heard. */
  public Map<String, Count> zones() {
    Map<String, Count> zones = new TreeMap<>();
    pools.forEach(
        (pool, count) -> zones.computeIfAbsent(pool.zone(), zone -> new Count()).add(count));
    return zones;
  }

  /** How many machines of each type have been heard. */
  public Map<String, Count> types() {
    Map<String, Count> types = new TreeMap<>();
    pools.forEach(
        (pool, count) -> types.computeIfAbsent(pool.type(), type -> new Count()).add(count));
    return types;
  }

  /** How many of each team's inherited tasks are on machines that have been heard. */
  public Map<String, Count> teams() {
    return teams;
  }
}
