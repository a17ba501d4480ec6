package madderrudder.persistence;

import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/**
 * A segment of the leader's log as it is stored: which machines exist, which attempts may be on
 * them from now on, and which attempts have ended. {@link LogState} replays the segments in the
 * order of their numbers; {@link LogSegmentBuilder} encodes them. Because a value in the store
 * holds little, what several entries have in common is stored once for the group. Immutable.
 *
 * @param number the sequence number of the segment; a higher one is later
 * @param machines machines that exist
 * @param gone ids of machines that no longer exist
 * @param placed attempts that may be on a machine
 * @param ended attempts that are no longer on their machine
 * @param images container images cached on machines
 */
public record LogSegment(
    long number,
    List<MachineEntry> machines,
    List<String> gone,
    List<Placement> placed,
    List<EndedAttempt> ended,
    List<CachedImage> images) {

  /**
   * A machine that exists.
   *
   * @param id the machine's id
   * @param kind what it has in common with other machines
   * @param rentedWallMicros the time of day when it was rented, in microseconds
   * @param retiring whether it is being returned to the cloud
   */
  public record MachineEntry(
      String id, MachineKind kind, long rentedWallMicros, boolean retiring) {}

  /**
   * What machines may have in common; entries of the same kind form one group.
   *
   * @param type the name of the machine type
   * @param zone the zone
   * @param spot whether the cloud may reclaim it (spot or preemptible)
   * @param owned whether it existed before the first rental, so is never returned
   */
  public record MachineKind(String type, String zone, boolean spot, boolean owned) {}

  /**
   * A task attempt that may be on a machine. Its resources are stored too, because its job may be
   * over, and the job's record deleted, while the task is still on the machine.
   *
   * @param task the task
   * @param attempt the attempt number
   * @param usage the resources the task uses and the team they count against
   * @param machine the machine's id
   */
  public record Placement(TaskId task, long attempt, Usage usage, String machine) {}

  /**
   * What each task of a job uses.
   *
   * @param team the team whose quota it counts against
   * @param resources the resources of one task
   */
  public record Usage(String team, Resources resources) {}

  /**
   * An attempt that is no longer on its machine. Without the machine the entry would be ambiguous:
   * a task lost by a gang that is still being placed is replaced under the same attempt number.
   *
   * @param task the task
   * @param attempt the attempt number
   * @param machine the id of the machine it was on
   */
  public record EndedAttempt(TaskId task, long attempt, String machine) {}

  /**
   * A container image cached on a machine. Only a hint: a new leader that knows it places better.
   *
   * @param name the image's name
   * @param gb its size in gigabytes
   * @param machine the machine's id
   */
  public record CachedImage(String name, double gb, String machine) {}

  /**
   * Decodes a segment from its stored form.
   *
   * @throws MalformedMessageException if a field is missing or an entry cannot be parsed
   */
  public static LogSegment read(JsonFields in) throws MalformedMessageException {
    return new LogSegment(
        in.count("n"),
        readMachines(in),
        in.texts("gone"),
        readPlacements(in),
        readEnded(in),
        readImages(in));
  }

  private static List<MachineEntry> readMachines(JsonFields in) throws MalformedMessageException {
    List<MachineEntry> machines = new ArrayList<>();
    for (JsonFields group : in.objects("machines")) {
      MachineKind kind =
          new MachineKind(
              group.text("type"), group.text("zone"), group.flag("spot"), group.flag("owned"));
      for (String item : group.texts("of")) {
        String[] parts = item.split(" ");
        machines.add(new MachineEntry(text(parts, 0), kind, number(parts, 1), parts.length > 2));
      }
    }
    return machines;
  }

  private static List<Placement> readPlacements(JsonFields in) throws MalformedMessageException {
    List<Placement> placed = new ArrayList<>();
    for (JsonFields group : in.objects("placed")) {
      String job = group.text("j");
      Usage usage =
          new Usage(
              group.text("w"), new Resources(group.count("c"), group.count("g"), group.count("m")));
      for (String item : group.texts("of")) {
        String[] parts = item.split(" ", 3);
        placed.add(
            new Placement(
                new TaskId(job, (int) number(parts, 0)), number(parts, 1), usage, text(parts, 2)));
      }
    }
    return placed;
  }

  private static List<EndedAttempt> readEnded(JsonFields in) throws MalformedMessageException {
    List<EndedAttempt> ended = new ArrayList<>();
    for (JsonFields group : in.objects("ended")) {
      String job = group.text("j");
      for (String item : group.texts("of")) {
        String[] parts = item.split(" ");
        ended.add(
            new EndedAttempt(
                new TaskId(job, (int) number(parts, 0)), number(parts, 1), text(parts, 2)));
      }
    }
    return ended;
  }

  private static List<CachedImage> readImages(JsonFields in) throws MalformedMessageException {
    List<CachedImage> images = new ArrayList<>();
    for (JsonFields group : in.objects("images")) {
      for (String machine : group.texts("of")) {
        images.add(new CachedImage(group.text("i"), group.amount("gb"), machine));
      }
    }
    return images;
  }

  private static long number(String[] parts, int index) throws MalformedMessageException {
    try {
      return Long.parseLong(text(parts, index));
    } catch (NumberFormatException e) {
      throw notAnEntry(parts);
    }
  }

  private static String text(String[] parts, int index) throws MalformedMessageException {
    if (index >= parts.length) {
      throw notAnEntry(parts);
    }
    return parts[index];
  }

  private static MalformedMessageException notAnEntry(String[] parts) {
    return new MalformedMessageException("not an entry of the log: " + String.join(" ", parts));
  }
}
