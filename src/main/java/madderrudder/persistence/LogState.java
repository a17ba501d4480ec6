package madderrudder.persistence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.TaskId;

/**
 * The state that the segments of the leader's log describe together, in the order of their numbers.
 */
public final class LogState {
  private final Map<String, LogSegment.MachineEntry> machines = new LinkedHashMap<>();
  private final Map<Attempt, LogSegment.Placement> placed = new LinkedHashMap<>();
  private final List<LogSegment.CachedImage> images = new ArrayList<>();

  private record Attempt(TaskId task, long number, String machine) {}

  private LogState() {}

  /**
   * Replays the segments, which may be given in any order. A later segment overrides an earlier
   * one; within a segment, attempts ended before any new one was placed.
   */
  public static LogState of(Collection<LogSegment> segments) {
    LogState state = new LogState();
    segments.stream().sorted(Comparator.comparingLong(LogSegment::number)).forEach(state::apply);
    state.placed.values().removeIf(entry -> !state.machines.containsKey(entry.machine()));
    return state;
  }

  private void apply(LogSegment segment) {
    segment.machines().forEach(machine -> machines.put(machine.id(), machine));
    segment.gone().forEach(machines::remove);
    for (LogSegment.EndedAttempt end : segment.ended()) {
      placed.remove(new Attempt(end.task(), end.attempt(), end.machine()));
    }
    for (LogSegment.Placement entry : segment.placed()) {
      placed.put(new Attempt(entry.task(), entry.attempt(), entry.machine()), entry);
    }
    images.addAll(segment.images());
  }

  /** The machines that exist, in the order in which the log first names them. */
  public Collection<LogSegment.MachineEntry> machines() {
    return machines.values();
  }

  /** The attempts that may be on machines that exist; those on a removed machine went with it. */
  public Collection<LogSegment.Placement> placed() {
    return placed.values();
  }

  /** All cached images that the log names, also on machines that no longer exist; oldest first. */
  public List<LogSegment.CachedImage> images() {
    return images;
  }
}
