package madderrudder.persistence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.TaskId;

/**
 * The state that results from replaying the segments of the leader's log in the order of their
 * numbers.
 */
public final class LogState {
  private final Map<String, LogSegment.MachineEntry> machines = new LinkedHashMap<>();
  private final Map<PlacedAttempt, LogSegment.Placement> placements = new LinkedHashMap<>();
  private final List<LogSegment.CachedImage> images = new ArrayList<>();

  private record PlacedAttempt(TaskId task, long number, String machine) {}

  private LogState() {}

  /**
   * Replays the segments, which may be given in any order. A segment with a higher number overrides
   * one with a lower number. Within a segment, ended attempts are removed before placed ones are
   * added.
   */
  public static LogState of(Collection<LogSegment> segments) {
    LogState state = new LogState();
    segments.stream().sorted(Comparator.comparingLong(LogSegment::number)).forEach(state::apply);
    state.placements.values().removeIf(entry -> !state.machines.containsKey(entry.machine()));
    return state;
  }

  private void apply(LogSegment segment) {
    segment.machines().forEach(machine -> machines.put(machine.id(), machine));
    segment.removedMachines().forEach(machines::remove);
    for (LogSegment.EndedAttempt entry : segment.endedAttempts()) {
      placements.remove(new PlacedAttempt(entry.task(), entry.attempt(), entry.machine()));
    }
    for (LogSegment.Placement entry : segment.placements()) {
      placements.put(new PlacedAttempt(entry.task(), entry.attempt(), entry.machine()), entry);
    }
    images.addAll(segment.images());
  }

  /** Returns the machines that exist, in the order in which the log first lists them. */
  public Collection<LogSegment.MachineEntry> machines() {
    return machines.values();
  }

  /** Returns the attempts that may be running; those on removed machines are left out. */
  public Collection<LogSegment.Placement> placements() {
    return placements.values();
  }

  /**
   * Returns all cached images in the log, oldest first, including those on machines that no longer
   * exist.
   */
  public List<LogSegment.CachedImage> images() {
    return images;
  }
}
