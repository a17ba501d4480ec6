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
 * How good a leader's picture is after it has taken over: which machines that were up it still has
 * to hear, by zone, type and team. What is free there is not known, and what runs there may need no
 * room elsewhere; so nobody is stopped for a job and no machine is rented for it before enough of
 * the machines that it may use has been heard. That is awaited for as long as a worker that can
 * reach this leader may take to find it, and no longer.
 */
public final class Confidence {
  /** All there is has been heard. */
  public static final Confidence FULL = new Confidence(true);

  /**
   * One machine in ten may be lacking: among a thousand workers the last tenth takes as long to
   * come by as all others, and what can be free on it is little beside what nine tenths have.
   */
  private static final int TENTHS_NEEDED = 9;

  /** A worker that a controller sent away, or that found none, tries the next after a second. */
  private static final long TRY_MICROS = 1_000_000;

  private final boolean overdue;
  private final Map<CapacityPool, Count> shelves = new TreeMap<>();
  private final Map<String, Count> teams = new TreeMap<>();
  private final Set<Machine> awaited = new HashSet<>();
  private final Set<String> cutOff = new HashSet<>();
  private final Count all = new Count();

  /** Machines of a type in a zone. */
  private record CapacityPool(String zone, String type) implements Comparable<CapacityPool> {
    @Override
    public int compareTo(CapacityPool other) {
      int byZone = zone.compareTo(other.zone);
      return byZone != 0 ? byZone : type.compareTo(other.type);
    }
  }

  /** How many of what is expected has been heard. */
  public static final class Count {
    private int expected;
    private int heard;

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

    /** From 0 to 1; 1 where nothing is expected. */
    public double share() {
      return expected == 0 ? 1 : (double) heard / expected;
    }
  }

  private Confidence(boolean overdue) {
    this.overdue = overdue;
  }

  /**
   * For how long workers are awaited: an interval between reports with its quarter more, and a try
   * at each controller.
   */
  public static long patienceMicros(WorkerTimes workers, int members) {
    return workers.reportMicros() * 5 / 4 + members * TRY_MICROS;
  }

  /** The confidence in the picture of a leader that has answered workers for so long. */
  public static Confidence of(
      Cluster cluster, long answeringMicros, long patienceMicros, long wallMicros) {
    Confidence confidence = new Confidence(answeringMicros > patienceMicros);
    for (Machine machine : cluster.machines.values()) {
      if (machine.expectedUp(wallMicros)) {
        confidence.expect(machine);
      }
    }
    confidence.noteCutOff();
    return confidence.awaited.isEmpty() ? FULL : confidence;
  }

  /**
   * A zone of which hardly any machine has come by, while another has been heard nearly whole, is
   * cut off rather than late. Waiting for it once kept work waiting in the zone that was there.
   */
  private void noteCutOff() {
    Map<String, Count> zones = zones();
    if (zones.values().stream().anyMatch(Count::enough)) {
      zones.forEach(
          (zone, count) -> {
            if (count.hardlyAny()) {
              cutOff.add(zone);
            }
          });
    }
  }

  private void expect(Machine machine) {
    // A report that was not made in this term may be a late copy, of a machine that has died since.
    boolean heard = (machine.reported && machine.reportedInTerm) || machine.leaseExpired;
    if (!heard) {
      awaited.add(machine);
    }
    all.add(heard);
    shelves
        .computeIfAbsent(new CapacityPool(machine.zone, machine.type.name()), shelf -> new Count())
        .add(heard);
    for (Assignment assignment : machine.assignments.values()) {
      if (assignment.inherited) {
        teams.computeIfAbsent(assignment.team, team -> new Count()).add(heard);
      }
    }
  }

  /** Nothing is awaited any more. */
  public boolean complete() {
    return awaited.isEmpty();
  }

  /** Who has not been heard by now is silent rather than on the way. */
  public boolean overdue() {
    return overdue;
  }

  /** The machine was up, has not been heard yet, and is likely to come by. */
  public boolean awaits(Machine machine) {
    return !overdue && awaited.contains(machine) && !cutOff.contains(machine.zone);
  }

  /** The machine was up, and should have been heard by now. */
  public boolean misses(Machine machine) {
    return awaited.contains(machine) && !awaits(machine);
  }

  /** Whether enough has been heard of all machines. */
  public boolean suffices() {
    return overdue || all.enough();
  }

  /** Whether enough has been heard of the machines that the job may use. */
  public boolean suffices(Job job) {
    if (overdue) {
      return true;
    }
    JobSpec spec = job.spec;
    Count usable = new Count();
    shelves.forEach(
        (shelf, count) -> {
          if (!cutOff.contains(shelf.zone())
              && (spec.zone() == null || spec.zone().equals(shelf.zone()))
              && (spec.types() == null || spec.types().contains(shelf.type()))) {
            usable.add(count);
          }
        });
    return usable.enough();
  }

  /** The share heard of all machines that are expected. */
  public double share() {
    return all.share();
  }

  /** The share of its machines heard, for each zone. */
  public Map<String, Count> zones() {
    Map<String, Count> zones = new TreeMap<>();
    shelves.forEach(
        (shelf, count) -> zones.computeIfAbsent(shelf.zone(), zone -> new Count()).add(count));
    return zones;
  }

  /** The share of its machines heard, for each type. */
  public Map<String, Count> types() {
    Map<String, Count> types = new TreeMap<>();
    shelves.forEach(
        (shelf, count) -> types.computeIfAbsent(shelf.type(), type -> new Count()).add(count));
    return types;
  }

  /** The share of the tasks taken over whose machines have been heard, for each team. */
  public Map<String, Count> teams() {
    return teams;
  }
}
