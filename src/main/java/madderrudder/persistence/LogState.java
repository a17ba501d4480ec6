package madderrudder.persistence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.TaskId;

/**
 * What the pages of the log say together: the machines there are, what may be on them, what they
 * have kept.
 */
public final class LogState {
  private final Map<String, LogSegment.MachineEntry> machines = new LinkedHashMap<>();
  private final Map<Attempt, LogSegment.Entry> placed = new LinkedHashMap<>();
  private final List<LogSegment.Image> images = new ArrayList<>();

  private record Attempt(TaskId task, long number, String machine) {}

  /**
   * A later page has the last word; within a page what has ended did so before anything was placed.
   */
  public static LogState of(Collection<LogSegment> pages) {
    LogState reading = new LogState();
    pages.stream().sorted(Comparator.comparingLong(LogSegment::number)).forEach(reading::take);
    reading.placed.values().removeIf(entry -> !reading.machines.containsKey(entry.machine()));
    return reading;
  }

  private void take(LogSegment page) {
    page.machines().forEach(machine -> machines.put(machine.id(), machine));
    page.gone().forEach(machines::remove);
    page.ended()
        .forEach(end -> placed.remove(new Attempt(end.task(), end.attempt(), end.machine())));
    page.placed()
        .forEach(
            entry ->
                placed.put(new Attempt(entry.task(), entry.attempt(), entry.machine()), entry));
    images.addAll(page.images());
  }

  public Collection<LogSegment.MachineEntry> machines() {
    return machines.values();
  }

  /** Each on a machine that is there: what was on one that has gone has gone with it. */
  public Collection<LogSegment.Entry> placed() {
    return placed.values();
  }

  public List<LogSegment.Image> images() {
    return images;
  }
}
