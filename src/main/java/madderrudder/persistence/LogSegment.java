package madderrudder.persistence;

import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/**
 * A decoded segment of the leader's log: which machines exist, which attempts may run on them from
 * this segment on, and which attempts have ended. {@link LogState} replays the segments in the
 * order of their numbers; {@link LogSegmentBuilder} encodes them. Because the store limits the size
 * of a value, the fields that several entries have in common are stored once per group. Immutable.
 *
 * @param number the sequence number of the segment; a higher one is later
 * @param machines machines that exist
 * @param removedMachines ids of machines that no longer exist
 * @param placements attempts that may be running on a machine
 * @param endedAttempts attempts that no longer run on their machine
 * @param images container images cached on machines
 */
public record LogSegment(
    long number,
    List<MachineEntry> machines,
    List<String> removedMachines,
    List<Placement> placements,
    List<EndedAttempt> endedAttempts,
    List<CachedImage> images) {

  /**
   * A machine that exists.
   *
   * @param id the machine's id
   * @param kind the properties by which machines are grouped
   * @param rentedWallMicros the wall-clock time when it was rented, in microseconds
   * @param retiring whether it is being returned to the cloud
   */
  public record MachineEntry(
      String id, MachineKind kind, long rentedWallMicros, boolean retiring) {}

  /**
   * The properties that machines may have in common; entries of the same kind form one group.
   *
   * @param type the name of the machine type
   * @param zone the zone
   * @param spot whether the cloud may reclaim the machine (spot or preemptible)
   * @param owned whether the machine existed before the first rental and is therefore never
   *     returned
   */
  public record MachineKind(String type, String zone, boolean spot, boolean owned) {}

  /**
   * A task attempt that may be running on a machine. Its resources are stored too, because its job
   * may have finished, and the job's record been deleted, while the task is still on the machine.
   *
   * @param task the task
   * @param attempt the attempt number
   * @param usage the resources the task uses and the team they count against
   * @param machine the machine's id
   */
  public record Placement(TaskId task, long attempt, Usage usage, String machine) {}

  /**
   * The resource usage of each task of a job.
   *
   * @param team the team whose quota the task counts against
   * @param resources the resources of one task
   */
  public record Usage(String team, Resources resources) {}

  /**
   * An attempt that no longer runs on its machine. The machine is part of the entry because the
   * attempt number alone is ambiguous: while a gang is still being placed, a task of it that is
   * lost is placed again under the same attempt number.
   *
   * @param task the task
   * @param attempt the attempt number
   * @param machine the id of the machine it was on
   */
  public record EndedAttempt(TaskId task, long attempt, String machine) {}

  /**
   * A container image cached on a machine. It is only a hint, with which a new leader makes better
   * placements.
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
        readEndedAttempts(in),
        readImages(in));
  }

  private static List<MachineEntry> readMachines(JsonFields in) throws MalformedMessageException {
    List<MachineEntry> machines = new ArrayList<>();
    for (JsonFields group : in.objects("machines")) {
      MachineKind kind =
          new MachineKind(
              group.text("type"), group.text("zone"), group.flag("spot"), group.flag("owned"));
      for (String item : group.texts("of")) {
        String[] fields = item.split(" ");
        machines.add(
            new MachineEntry(fieldAt(fields, 0), kind, parseNumber(fields, 1), fields.length > 2));
      }
    }
    return machines;
  }

  private static List<Placement> readPlacements(JsonFields in) throws MalformedMessageException {
    List<Placement> placements = new ArrayList<>();
    for (JsonFields group : in.objects("placed")) {
      String job = group.text("j");
      Usage usage = new Usage(group.text("w"), readResources(group));
      for (String item : group.texts("of")) {
        String[] fields = item.split(" ", 3);
        placements.add(
            new Placement(
                new TaskId(job, (int) parseNumber(fields, 0)),
                parseNumber(fields, 1),
                usage,
                fieldAt(fields, 2)));
      }
    }
    return placements;
  }

  /**
   * Reads the resources of each attempt of a group: in billionths if the group has them, else in
   * thousandths, which earlier versions wrote alone.
   */
  private static Resources readResources(JsonFields group) throws MalformedMessageException {
    if (group.has("nc")) {
      return new Resources(group.count("nc"), group.count("ng"), group.count("nm"));
    }
    return Resources.ofThousandths(group.count("c"), group.count("g"), group.count("m"));
  }

  private static List<EndedAttempt> readEndedAttempts(JsonFields in)
      throws MalformedMessageException {
    List<EndedAttempt> endedAttempts = new ArrayList<>();
    for (JsonFields group : in.objects("ended")) {
      String job = group.text("j");
      for (String item : group.texts("of")) {
        String[] fields = item.split(" ");
        endedAttempts.add(
            new EndedAttempt(
                new TaskId(job, (int) parseNumber(fields, 0)),
                parseNumber(fields, 1),
                fieldAt(fields, 2)));
      }
    }
    return endedAttempts;
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

  private static long parseNumber(String[] fields, int index) throws MalformedMessageException {
    try {
      return Long.parseLong(fieldAt(fields, index));
    } catch (NumberFormatException e) {
      throw malformedEntry(fields);
    }
  }

  private static String fieldAt(String[] fields, int index) throws MalformedMessageException {
    if (index >= fields.length) {
      throw malformedEntry(fields);
    }
    return fields[index];
  }

  private static MalformedMessageException malformedEntry(String[] fields) {
    return new MalformedMessageException("not an entry of the log: " + String.join(" ", fields));
  }
}
