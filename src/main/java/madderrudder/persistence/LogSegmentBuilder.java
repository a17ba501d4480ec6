package madderrudder.persistence;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.persistence.LogSegment.CachedImage;
import madderrudder.persistence.LogSegment.EndedAttempt;
import madderrudder.persistence.LogSegment.MachineEntry;
import madderrudder.persistence.LogSegment.MachineKind;
import madderrudder.persistence.LogSegment.Placement;
import madderrudder.persistence.LogSegment.Usage;
import madderrudder.protocol.Json;

/**
 * Collects the entries of a {@link LogSegment} up to a size and encodes them. The size is an upper
 * bound computed entry by entry, so the encoded value never exceeds it. Not thread-safe.
 */
public final class LogSegmentBuilder {
  private static final int HEAD_BYTES = 128;

  /** Of a group, beside the names in it; numbers have up to 20 digits. */
  private static final int GROUP_BYTES = 128;

  /** Of an item, beside its text: two quotes and a comma. */
  private static final int ITEM_BYTES = 3;

  private static final int ESCAPED_BYTES = 6;
  private static final int MAX_UTF8_BYTES = 3;

  private int maxBytes;
  private int bytes = HEAD_BYTES;
  private final Map<MachineKind, List<String>> machines = new LinkedHashMap<>();
  private final List<String> gone = new ArrayList<>();
  private final Map<JobUsage, List<String>> placed = new LinkedHashMap<>();
  private final Map<String, List<String>> ended = new LinkedHashMap<>();
  private final Map<ImageName, List<String>> images = new LinkedHashMap<>();

  private record JobUsage(String job, Usage usage) {}

  private record ImageName(String name, double gb) {}

  /**
   * Creates an empty segment.
   *
   * @param maxBytes the most bytes that the encoded segment may have
   */
  public LogSegmentBuilder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Lowers the size limit, so that this many bytes stay free of entries added from now on. */
  public void spare(int spareBytes) {
    maxBytes -= spareBytes;
  }

  /** Adds a machine; returns false, and adds nothing, if the segment is too full for it. */
  public boolean add(MachineEntry machine) {
    MachineKind kind = machine.kind();
    return put(
        machines,
        kind,
        encodedBytes(kind.type()) + encodedBytes(kind.zone()),
        machine.id() + " " + machine.rentedWallMicros() + (machine.retiring() ? " r" : ""));
  }

  /** Adds the id of a machine that no longer exists; returns false if it does not fit. */
  public boolean addGone(String machine) {
    return reserve(encodedBytes(machine) + ITEM_BYTES) && gone.add(machine);
  }

  /** Adds an attempt that may be on a machine; returns false if it does not fit. */
  public boolean add(Placement placement) {
    String job = placement.task().job();
    return put(
        placed,
        new JobUsage(job, placement.usage()),
        encodedBytes(job) + encodedBytes(placement.usage().team()),
        placement.task().index() + " " + placement.attempt() + " " + placement.machine());
  }

  /** Adds an attempt that has ended; returns false if it does not fit. */
  public boolean add(EndedAttempt end) {
    return put(
        ended,
        end.task().job(),
        encodedBytes(end.task().job()),
        end.task().index() + " " + end.attempt() + " " + end.machine());
  }

  /** Adds an image cached on a machine; returns false if it does not fit. */
  public boolean add(CachedImage image) {
    return put(
        images,
        new ImageName(image.name(), image.gb()),
        encodedBytes(image.name()),
        image.machine());
  }

  /**
   * Encodes the segment under its sequence number. The JSON layout is stored and must not change.
   */
  public byte[] render(long number) {
    return Json.object(
        out -> {
          out.writeNumberField("n", number);
          writeGroups(out, "machines", machines, kind -> writeKind(out, kind));
          out.writeFieldName("gone");
          writeTexts(out, gone);
          writeGroups(out, "placed", placed, job -> writeJobUsage(out, job));
          writeGroups(out, "ended", ended, job -> out.writeStringField("j", job));
          writeGroups(out, "images", images, image -> writeImage(out, image));
        });
  }

  private <K> boolean put(Map<K, List<String>> groups, K group, int nameBytes, String item) {
    int groupBytes = groups.containsKey(group) ? 0 : GROUP_BYTES + nameBytes;
    if (!reserve(encodedBytes(item) + ITEM_BYTES + groupBytes)) {
      return false;
    }
    groups.computeIfAbsent(group, key -> new ArrayList<>()).add(item);
    return true;
  }

  private boolean reserve(int size) {
    if (bytes + size > maxBytes) {
      return false;
    }
    bytes += size;
    return true;
  }

  /**
   * The bytes of a text as JSON. Users choose the names of images: names with control characters,
   * which take six bytes each, once made a segment larger than the store accepts, and no later
   * segment could be written either.
   */
  private static int encodedBytes(String text) {
    int size = 0;
    for (int i = 0; i < text.length(); i++) {
      size += encodedBytes(text.charAt(i));
    }
    return size;
  }

  private static int encodedBytes(char character) {
    if (character < ' ' || Character.isSurrogate(character)) {
      return ESCAPED_BYTES;
    }
    if (character == '"' || character == '\\') {
      return 2;
    }
    return character < 0x80 ? 1 : MAX_UTF8_BYTES;
  }

  /** Writes the fields that the items of a group share. */
  private interface GroupHead<K> {
    void write(K group) throws IOException;
  }

  private static void writeKind(JsonGenerator out, MachineKind kind) throws IOException {
    out.writeStringField("type", kind.type());
    out.writeStringField("zone", kind.zone());
    out.writeBooleanField("spot", kind.spot());
    out.writeBooleanField("owned", kind.owned());
  }

  private static void writeJobUsage(JsonGenerator out, JobUsage job) throws IOException {
    out.writeStringField("j", job.job());
    out.writeStringField("w", job.usage().team());
    out.writeNumberField("c", job.usage().resources().milliCpus());
    out.writeNumberField("g", job.usage().resources().milliGpus());
    out.writeNumberField("m", job.usage().resources().memoryMb());
  }

  private static void writeImage(JsonGenerator out, ImageName image) throws IOException {
    out.writeStringField("i", image.name());
    out.writeNumberField("gb", image.gb());
  }

  private static <K> void writeGroups(
      JsonGenerator out, String name, Map<K, List<String>> groups, GroupHead<K> head)
      throws IOException {
    out.writeArrayFieldStart(name);
    for (Map.Entry<K, List<String>> group : groups.entrySet()) {
      out.writeStartObject();
      head.write(group.getKey());
      out.writeFieldName("of");
      writeTexts(out, group.getValue());
      out.writeEndObject();
    }
    out.writeEndArray();
  }

  private static void writeTexts(JsonGenerator out, List<String> texts) throws IOException {
    out.writeStartArray();
    for (String text : texts) {
      out.writeString(text);
    }
    out.writeEndArray();
  }
}
