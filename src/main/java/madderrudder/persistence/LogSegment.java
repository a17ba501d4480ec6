package madderrudder.persistence;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/**
 * A page of the leader's log: which machines there are, which tasks may be on them from now on, and
 * which surely are not any more. Pages are read in the order of their numbers ({@link LogState}).
 * What is alike is said once, since a value holds little: the tasks of a job, the machines of a
 * kind, the machines with an image.
 */
public record LogSegment(
    long number,
    List<MachineEntry> machines,
    List<String> gone,
    List<Entry> placed,
    List<Ended> ended,
    List<Image> images) {

  /** Where a machine comes from, and whether it is being returned. */
  public record MachineEntry(String id, JobKind kind, long rentedWallMicros, boolean retiring) {}

  /** What machines may have in common. */
  public record JobKind(String type, String zone, boolean spot, boolean owned) {}

  /**
   * A task that may be on the machine. What it takes is kept too, since its job may be over, and
   * its record gone, while the task is still there.
   */
  public record Entry(TaskId task, long attempt, Share share, String machine) {}

  /** What each task of a job takes, and of which team's share. */
  public record Share(String team, Resources takes) {}

  /**
   * The attempt is surely not on the machine any more. Without the machine it would be ambiguous: a
   * task that a gathering gang has lost is replaced under the same attempt.
   */
  public record Ended(TaskId task, long attempt, String machine) {}

  /** An image that the machine has kept: a help only, a new leader places better if it knows. */
  public record Image(String name, double gb, String machine) {}

  private record JobShare(String job, Share share) {}

  private record ImageName(String name, double gb) {}

  /** Fills a page up to a size. */
  public static final class Builder {
    private static final int HEAD_BYTES = 128;

    /** Of a group, beside the names in it; numbers have up to 20 digits. */
    private static final int GROUP_BYTES = 128;

    /** Of an item, beside its text. */
    private static final int ITEM_BYTES = 3;

    private int mostBytes;
    private int bytes = HEAD_BYTES;
    private final Map<JobKind, List<String>> machines = new LinkedHashMap<>();
    private final List<String> gone = new ArrayList<>();
    private final Map<JobShare, List<String>> placed = new LinkedHashMap<>();
    private final Map<String, List<String>> ended = new LinkedHashMap<>();
    private final Map<ImageName, List<String>> images = new LinkedHashMap<>();

    public Builder(int mostBytes) {
      this.mostBytes = mostBytes;
    }

    /** From now on so much stays free. */
    public void spare(int spareBytes) {
      mostBytes -= spareBytes;
    }

    private boolean room(int size) {
      if (bytes + size > mostBytes) {
        return false;
      }
      bytes += size;
      return true;
    }

    /**
     * Bytes of a text as JSON. Users name images as they like: with control characters, each of
     * which takes six bytes, a page once grew beyond what the store takes, and no page after it
     * could be written either.
     */
    private static int written(String text) {
      int size = 0;
      for (int i = 0; i < text.length(); i++) {
        char c = text.charAt(i);
        size +=
            c < ' ' || Character.isSurrogate(c) ? 6 : c == '"' || c == '\\' ? 2 : c < 0x80 ? 1 : 3;
      }
      return size;
    }

    private <K> boolean put(Map<K, List<String>> groups, K group, int nameBytes, String item) {
      int size =
          written(item) + ITEM_BYTES + (groups.containsKey(group) ? 0 : GROUP_BYTES + nameBytes);
      if (!room(size)) {
        return false;
      }
      groups.computeIfAbsent(group, g -> new ArrayList<>()).add(item);
      return true;
    }

    /** False, here and below, if the page is too full for it. */
    public boolean add(MachineEntry machine) {
      JobKind kind = machine.kind();
      return put(
          machines,
          kind,
          written(kind.type()) + written(kind.zone()),
          machine.id() + " " + machine.rentedWallMicros() + (machine.retiring() ? " r" : ""));
    }

    public boolean addGone(String machine) {
      return room(written(machine) + ITEM_BYTES) && gone.add(machine);
    }

    public boolean add(Entry entry) {
      String job = entry.task().job();
      return put(
          placed,
          new JobShare(job, entry.share()),
          written(job) + written(entry.share().team()),
          entry.task().index() + " " + entry.attempt() + " " + entry.machine());
    }

    public boolean add(Ended end) {
      return put(
          ended,
          end.task().job(),
          written(end.task().job()),
          end.task().index() + " " + end.attempt() + " " + end.machine());
    }

    public boolean add(Image image) {
      return put(
          images, new ImageName(image.name(), image.gb()), written(image.name()), image.machine());
    }

    public byte[] render(long number) {
      return Json.object(
          out -> {
            out.writeNumberField("n", number);
            groups(
                out,
                "machines",
                machines,
                kind -> {
                  out.writeStringField("type", kind.type());
                  out.writeStringField("zone", kind.zone());
                  out.writeBooleanField("spot", kind.spot());
                  out.writeBooleanField("owned", kind.owned());
                });
            out.writeFieldName("gone");
            texts(out, gone);
            groups(
                out,
                "placed",
                placed,
                job -> {
                  out.writeStringField("j", job.job());
                  out.writeStringField("w", job.share().team());
                  out.writeNumberField("c", job.share().takes().milliCpus());
                  out.writeNumberField("g", job.share().takes().milliGpus());
                  out.writeNumberField("m", job.share().takes().memoryMb());
                });
            groups(out, "ended", ended, job -> out.writeStringField("j", job));
            groups(
                out,
                "images",
                images,
                image -> {
                  out.writeStringField("i", image.name());
                  out.writeNumberField("gb", image.gb());
                });
          });
    }

    /** Writes what a group has in common. */
    private interface Head<K> {
      void write(K group) throws IOException;
    }

    private static <K> void groups(
        JsonGenerator out, String name, Map<K, List<String>> groups, Head<K> head)
        throws IOException {
      out.writeArrayFieldStart(name);
      for (Map.Entry<K, List<String>> group : groups.entrySet()) {
        out.writeStartObject();
        head.write(group.getKey());
        out.writeFieldName("of");
        texts(out, group.getValue());
        out.writeEndObject();
      }
      out.writeEndArray();
    }

    private static void texts(JsonGenerator out, List<String> texts) throws IOException {
      out.writeStartArray();
      for (String text : texts) {
        out.writeString(text);
      }
      out.writeEndArray();
    }
  }

  public static LogSegment read(Fields in) throws MalformedMessageException {
    List<MachineEntry> machines = new ArrayList<>();
    for (Fields group : in.objects("machines")) {
      JobKind kind =
          new JobKind(
              group.text("type"), group.text("zone"), group.flag("spot"), group.flag("owned"));
      for (String item : group.texts("of")) {
        String[] parts = item.split(" ");
        machines.add(new MachineEntry(text(parts, 0), kind, number(parts, 1), parts.length > 2));
      }
    }
    List<Entry> placed = new ArrayList<>();
    for (Fields group : in.objects("placed")) {
      String job = group.text("j");
      Share share =
          new Share(
              group.text("w"), new Resources(group.count("c"), group.count("g"), group.count("m")));
      for (String item : group.texts("of")) {
        String[] parts = item.split(" ", 3);
        placed.add(
            new Entry(
                new TaskId(job, (int) number(parts, 0)), number(parts, 1), share, text(parts, 2)));
      }
    }
    List<Ended> ended = new ArrayList<>();
    for (Fields group : in.objects("ended")) {
      String job = group.text("j");
      for (String item : group.texts("of")) {
        String[] parts = item.split(" ");
        ended.add(
            new Ended(new TaskId(job, (int) number(parts, 0)), number(parts, 1), text(parts, 2)));
      }
    }
    List<Image> images = new ArrayList<>();
    for (Fields group : in.objects("images")) {
      for (String machine : group.texts("of")) {
        images.add(new Image(group.text("i"), group.amount("gb"), machine));
      }
    }
    return new LogSegment(in.count("n"), machines, in.texts("gone"), placed, ended, images);
  }

  private static long number(String[] parts, int at) throws MalformedMessageException {
    try {
      return Long.parseLong(text(parts, at));
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("not an entry of the log: " + String.join(" ", parts));
    }
  }

  private static String text(String[] parts, int at) throws MalformedMessageException {
    if (at >= parts.length) {
      throw new MalformedMessageException("not an entry of the log: " + String.join(" ", parts));
    }
    return parts[at];
  }
}
