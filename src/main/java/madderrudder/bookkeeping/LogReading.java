package madderrudder.bookkeeping;

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
public final class LogReading {
  private final Map<String, LogPage.MachineEntry> machines = new LinkedHashMap<>();
  private final Map<Attempt, LogPage.Entry> placed = new LinkedHashMap<>();
  private final List<LogPage.Image> images = new ArrayList<>();

  private record Attempt(TaskId task, long number, String machine) {}

  /**
   * A later page has the last word; within a page what has ended did so before anything was placed.
   */
  public static LogReading of(Collection<LogPage> pages) {
    LogReading reading = new LogReading();
    pages.stream().sorted(Comparator.comparingLong(LogPage::number)).forEach(reading::take);
    reading.placed.values().removeIf(entry -> !reading.machines.containsKey(entry.machine()));
    return reading;
  }

  private void take(LogPage page) {
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

  public Collection<LogPage.MachineEntry> machines() {
    return machines.values();
  }

  /** Each on a machine that is there: what was on one that has gone has gone with it. */
  public Collection<LogPage.Entry> placed() {
    return placed.values();
  }

  public List<LogPage.Image> images() {
    return images;
  }
}
