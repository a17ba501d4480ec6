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
 * The share of the cluster that has reported to a leader since it took over, by zone, type and
 * team. Of a machine that was up and has not reported yet, it is not known what is free on it, and
 * a task that runs there needs no capacity elsewhere. The leader therefore preempts nothing and
 * rents no machine for a job until enough of the machines that the job may use have reported. It
 * waits only for as long as a worker with a working connection may need to find the new leader.
 *
 * <p>Immutable after construction. Confined to the event loop thread.
 */
public final class ClusterCoverage {
  /** The coverage of a leader to which all expected machines have reported. */
  public static final ClusterCoverage FULL = new ClusterCoverage(true);

  /**
   * The tenths of the expected machines that have to report. One machine in ten may be missing:
   * among a thousand workers the last tenth takes as long to report as all others, and its free
   * capacity is small compared with that of the other nine tenths.
   */
  private static final int REQUIRED_TENTHS = 9;

  /** A worker that a controller rejected, or that reached none, tries the next after a second. */
  private static final long CONTROLLER_RETRY_MICROS = 1_000_000;

  private final boolean reportTimeoutPassed;
  private final Map<ZonePool, Count> pools = new TreeMap<>();
  private final Map<String, Count> teams = new TreeMap<>();
  private final Set<Machine> unreported = new HashSet<>();
  private final Set<String> cutOffZones = new HashSet<>();
  private final Count allMachines = new Count();

  /** The machines of one type in one zone. */
  private record ZonePool(String zone, String type) implements Comparable<ZonePool> {
    @Override
    public int compareTo(ZonePool other) {
      int byZone = zone.compareTo(other.zone);
      return byZone != 0 ? byZone : type.compareTo(other.type);
    }
  }

  /** Counts the expected machines, or the tasks on them, and those whose machine has reported. */
  public static final class Count {
    private int expected;
    private int reported;

    private Count() {}

    private void add(boolean hasReported) {
      expected++;
      reported += hasReported ? 1 : 0;
    }

    private void add(Count other) {
      expected += other.expected;
      reported += other.reported;
    }

    private boolean isSufficient() {
      return 10L * reported >= (long) REQUIRED_TENTHS * expected;
    }

    private boolean isNearlyNone() {
      return 10L * reported < (long) (10 - REQUIRED_TENTHS) * expected;
    }

    /** The share that has reported, from 0 to 1; 1 if none is expected. */
    public double share() {
      return expected == 0 ? 1 : (double) reported / expected;
    }
  }

  private ClusterCoverage(boolean reportTimeoutPassed) {
    this.reportTimeoutPassed = reportTimeoutPassed;
  }

  /**
   * How long the leader waits for workers to report, in microseconds: the heartbeat interval, plus
   * the quarter by which it may be longer, plus one attempt at each controller.
   *
   * @param controllerCount how many controllers there are
   */
  public static long reportTimeoutMicros(WorkerTimes workers, int controllerCount) {
    return workers.heartbeatIntervalMicros() * 5 / 4 + controllerCount * CONTROLLER_RETRY_MICROS;
  }

  /**
   * Returns the coverage of a leader.
   *
   * @param cluster the leader's view of the cluster
   * @param answeringMicros how long the leader has answered workers
   * @param reportTimeoutMicros how long it waits for workers to report
   * @param wallMicros the wall clock time
   */
  public static ClusterCoverage of(
      Cluster cluster, long answeringMicros, long reportTimeoutMicros, long wallMicros) {
    ClusterCoverage coverage = new ClusterCoverage(answeringMicros > reportTimeoutMicros);
    for (Machine machine : cluster.machines.values()) {
      if (machine.expectedUp(wallMicros)) {
        coverage.addExpected(machine);
      }
    }
    coverage.findCutOffZones();
    return coverage.unreported.isEmpty() ? FULL : coverage;
  }

  /**
   * Finds the zones that are cut off rather than late: nearly no machine of the zone has reported,
   * while nearly all machines of another zone have. Waiting for such a zone once delayed work that
   * could have run in the reachable zone.
   */
  private void findCutOffZones() {
    Map<String, Count> zones = zones();
    if (zones.values().stream().noneMatch(Count::isSufficient)) {
      return;
    }
    zones.forEach(
        (zone, count) -> {
          if (count.isNearlyNone()) {
            cutOffZones.add(zone);
          }
        });
  }

  private void addExpected(Machine machine) {
    // A heartbeat that was not made in this term may be a late copy from a machine that has died
    // since.
    boolean hasReported = (machine.reported && machine.reportedInTerm) || machine.leaseExpired;
    if (!hasReported) {
      unreported.add(machine);
    }
    allMachines.add(hasReported);
    pools
        .computeIfAbsent(new ZonePool(machine.zone, machine.type.name()), pool -> new Count())
        .add(hasReported);
    for (Assignment assignment : machine.assignments.values()) {
      if (assignment.inherited) {
        teams.computeIfAbsent(assignment.team, team -> new Count()).add(hasReported);
      }
    }
  }

  /** Whether every expected machine has reported. */
  public boolean complete() {
    return unreported.isEmpty();
  }

  /** Whether the time in which workers are expected to report is over. */
  public boolean reportTimeoutPassed() {
    return reportTimeoutPassed;
  }

  /** Whether the machine was up, has not reported yet, and is likely to report soon. */
  public boolean mayStillReport(Machine machine) {
    return !reportTimeoutPassed
        && unreported.contains(machine)
        && !cutOffZones.contains(machine.zone);
  }

  /** Whether the machine was up and has not reported, though it should have by now. */
  public boolean isMissing(Machine machine) {
    return unreported.contains(machine) && !mayStillReport(machine);
  }

  /** Whether enough of all machines have reported, or the time to report is over. */
  public boolean suffices() {
    return reportTimeoutPassed || allMachines.isSufficient();
  }

  /**
   * Whether enough of the machines that the job may use have reported, or the time to report is
   * over.
   */
  public boolean suffices(Job job) {
    if (reportTimeoutPassed) {
      return true;
    }
    Count usable = new Count();
    pools.forEach(
        (pool, count) -> {
          if (mayUse(job.spec, pool)) {
            usable.add(count);
          }
        });
    return usable.isSufficient();
  }

  private boolean mayUse(JobSpec spec, ZonePool pool) {
    return !cutOffZones.contains(pool.zone())
        && (spec.zone() == null || spec.zone().equals(pool.zone()))
        && (spec.machineTypes() == null || spec.machineTypes().contains(pool.type()));
  }

  /** The share of all expected machines that has reported, from 0 to 1. */
  public double share() {
    return allMachines.share();
  }

  /** The expected machines and those that have reported, by zone. */
  public Map<String, Count> zones() {
    Map<String, Count> zones = new TreeMap<>();
    pools.forEach(
        (pool, count) -> zones.computeIfAbsent(pool.zone(), zone -> new Count()).add(count));
    return zones;
  }

  /** The expected machines and those that have reported, by type. */
  public Map<String, Count> types() {
    Map<String, Count> types = new TreeMap<>();
    pools.forEach(
        (pool, count) -> types.computeIfAbsent(pool.type(), type -> new Count()).add(count));
    return types;
  }

  /** The inherited tasks and those on machines that have reported, by team. */
  public Map<String, Count> teams() {
    return teams;
  }
}
