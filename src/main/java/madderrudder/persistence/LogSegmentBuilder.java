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
import madderrudder.protocol.Resources;

/**
 * Collects the entries of a {@link LogSegment} up to a size limit and encodes them. An upper bound
 * of the encoded size is computed entry by entry, so the encoded value never exceeds the limit. Not
 * thread-safe.
 */
public final class LogSegmentBuilder {
  /** Upper bound of the encoded size of a segment without entries. */
  private static final int BASE_BYTES = 128;

  /** Upper bound of the size of a group without its names; numbers have up to 20 digits. */
  private static final int GROUP_OVERHEAD_BYTES = 128;

  /** Upper bound of the size of an amount in billionths, which some placement groups have. */
  private static final int BILLIONTHS_BYTES = 76;

  /** The size of an item without its text: two quotes and a comma. */
  private static final int ITEM_OVERHEAD_BYTES = 3;

  private static final int UNICODE_ESCAPE_BYTES = 6;
  private static final int MAX_UTF8_BYTES_PER_CHAR = 3;

  private int maxBytes;
  private int usedBytes = BASE_BYTES;
  private final Map<MachineKind, List<String>> machines = new LinkedHashMap<>();
  private final List<String> removedMachines = new ArrayList<>();
  private final Map<JobGroup, List<String>> placements = new LinkedHashMap<>();
  private final Map<String, List<String>> endedAttempts = new LinkedHashMap<>();
  private final Map<ImageGroup, List<String>> images = new LinkedHashMap<>();

  /** The group of placed attempts of one job with the same resource usage. */
  private record JobGroup(String job, Usage usage) {}

  /** The group of machines that have the same image cached. */
  private record ImageGroup(String name, double gb) {}

  /**
   * Creates an empty segment.
   *
   * @param maxBytes the size limit of the encoded segment
   */
  public LogSegmentBuilder(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Lowers the size limit for the entries added from now on by this many bytes. */
  public void lowerMaxBytes(int bytes) {
    maxBytes -= bytes;
  }

  /** Adds a machine; returns false, and adds nothing, if it does not fit. */
  public boolean add(MachineEntry machine) {
    MachineKind kind = machine.kind();
    return addToGroup(
        machines,
        kind,
        encodedBytes(kind.type()) + encodedBytes(kind.zone()),
        machine.id() + " " + machine.rentedWallMicros() + (machine.retiring() ? " r" : ""));
  }

  /** Adds the id of a machine that no longer exists; returns false if it does not fit. */
  public boolean addRemovedMachine(String machine) {
    return reserveBytes(encodedBytes(machine) + ITEM_OVERHEAD_BYTES)
        && removedMachines.add(machine);
  }

  /** Adds an attempt that may be on a machine; returns false if it does not fit. */
  public boolean add(Placement placement) {
    String job = placement.task().job();
    Usage usage = placement.usage();
    return addToGroup(
        placements,
        new JobGroup(job, usage),
        encodedBytes(job)
            + encodedBytes(usage.team())
            + (usage.resources().isInThousandths() ? 0 : BILLIONTHS_BYTES),
        placement.task().index() + " " + placement.attempt() + " " + placement.machine());
  }

  /** Adds an attempt that has ended; returns false if it does not fit. */
  public boolean add(EndedAttempt endedAttempt) {
    return addToGroup(
        endedAttempts,
        endedAttempt.task().job(),
        encodedBytes(endedAttempt.task().job()),
        endedAttempt.task().index() + " " + endedAttempt.attempt() + " " + endedAttempt.machine());
  }

  /** Adds an image cached on a machine; returns false if it does not fit. */
  public boolean add(CachedImage image) {
    return addToGroup(
        images,
        new ImageGroup(image.name(), image.gb()),
        encodedBytes(image.name()),
        image.machine());
  }

  /**
   * Encodes the segment with its sequence number. The JSON layout is stored and must not change.
   */
  public byte[] encode(long number) {
    return Json.object(
        out -> {
          out.writeNumberField("n", number);
          writeGroups(out, "machines", machines, kind -> writeKind(out, kind));
          out.writeFieldName("gone");
          writeTexts(out, removedMachines);
          writeGroups(out, "placed", placements, job -> writeJobGroup(out, job));
          writeGroups(out, "ended", endedAttempts, job -> out.writeStringField("j", job));
          writeGroups(out, "images", images, image -> writeImage(out, image));
        });
  }

  private <K> boolean addToGroup(Map<K, List<String>> groups, K group, int nameBytes, String item) {
    int groupBytes = groups.containsKey(group) ? 0 : GROUP_OVERHEAD_BYTES + nameBytes;
    if (!reserveBytes(encodedBytes(item) + ITEM_OVERHEAD_BYTES + groupBytes)) {
      return false;
    }
    groups.computeIfAbsent(group, key -> new ArrayList<>()).add(item);
    return true;
  }

  private boolean reserveBytes(int size) {
    if (usedBytes + size > maxBytes) {
      return false;
    }
    usedBytes += size;
    return true;
  }

  /**
   * Returns an upper bound of the size of a text in JSON, without quotes. Escapes have to be
   * counted because users choose image names: control characters take six bytes each, and once the
   * store refuses a segment that exceeds its limit on values, no later segment can be written
   * either.
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
      return UNICODE_ESCAPE_BYTES;
    }
    if (character == '"' || character == '\\') {
      return 2;
    }
    return character < 0x80 ? 1 : MAX_UTF8_BYTES_PER_CHAR;
  }

  /** Writes the fields that the items of a group have in common. */
  private interface GroupFieldsWriter<K> {
    void write(K group) throws IOException;
  }

  private static void writeKind(JsonGenerator out, MachineKind kind) throws IOException {
    out.writeStringField("type", kind.type());
    out.writeStringField("zone", kind.zone());
    out.writeBooleanField("spot", kind.spot());
    out.writeBooleanField("owned", kind.owned());
  }

  private static void writeJobGroup(JsonGenerator out, JobGroup job) throws IOException {
    out.writeStringField("j", job.job());
    out.writeStringField("w", job.usage().team());
    writeResources(out, job.usage().resources());
  }

  /**
   * Writes an amount in thousandths, rounded up, as earlier versions read it, and in billionths if
   * it has more digits.
   */
  private static void writeResources(JsonGenerator out, Resources resources) throws IOException {
    out.writeNumberField("c", Resources.toThousandths(resources.nanoCpus()));
    out.writeNumberField("g", Resources.toThousandths(resources.nanoGpus()));
    out.writeNumberField("m", Resources.toThousandths(resources.nanoMemoryGb()));
    if (!resources.isInThousandths()) {
      out.writeNumberField("nc", resources.nanoCpus());
      out.writeNumberField("ng", resources.nanoGpus());
      out.writeNumberField("nm", resources.nanoMemoryGb());
    }
  }

  private static void writeImage(JsonGenerator out, ImageGroup image) throws IOException {
    out.writeStringField("i", image.name());
    out.writeNumberField("gb", image.gb());
  }

  private static <K> void writeGroups(
      JsonGenerator out,
      String name,
      Map<K, List<String>> groups,
      GroupFieldsWriter<K> sharedFields)
      throws IOException {
    out.writeArrayFieldStart(name);
    for (Map.Entry<K, List<String>> group : groups.entrySet()) {
      out.writeStartObject();
      sharedFields.write(group.getKey());
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
