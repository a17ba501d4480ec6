package madderrudder.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against log segments that exceed their size limit, which the store refuses, and against
 * malformed entries that stop a new leader from reading the log.
 */
class LogSegmentTest {
  @ParameterizedTest
  @ValueSource(ints = {2048, 4096, 15 * 1024})
  void fullSegmentStaysWithinSizeLimitAndDecodesUnchanged(int maxBytes)
      throws MalformedMessageException {
    SplittableRandom random = new SplittableRandom(7);
    LogSegmentBuilder builder = new LogSegmentBuilder(maxBytes);
    Set<LogSegment.MachineEntry> machines = new HashSet<>();
    Set<LogSegment.Placement> placements = new HashSet<>();
    Set<LogSegment.EndedAttempt> endedAttempts = new HashSet<>();
    Set<LogSegment.CachedImage> images = new HashSet<>();
    Set<String> removedMachines = new HashSet<>();
    boolean fits = true;
    for (long i = 1; fits; i++) {
      String machine = String.format("m-%06d", i);
      TaskId task = new TaskId("req-" + random.nextInt(5), (int) i);
      Resources resources =
          Resources.ofThousandths(random.nextLong(1L << 40), 8_000, random.nextLong(1L << 40));
      LogSegment.MachineEntry entry =
          new LogSegment.MachineEntry(
              machine,
              new LogSegment.MachineKind(
                  "g8", random.nextBoolean() ? "itä" : "länsi", random.nextBoolean(), true),
              i << 30,
              random.nextBoolean());
      LogSegment.Placement placement =
          new LogSegment.Placement(
              task, i << 20, new LogSegment.Usage("töölö", resources), machine);
      LogSegment.EndedAttempt endedAttempt = new LogSegment.EndedAttempt(task, i, machine);
      LogSegment.CachedImage image =
          new LogSegment.CachedImage("img-" + random.nextInt(4), 1.5, machine);
      fits =
          builder.add(entry)
              && machines.add(entry)
              && builder.add(placement)
              && placements.add(placement)
              && builder.add(endedAttempt)
              && endedAttempts.add(endedAttempt)
              && builder.add(image)
              && images.add(image)
              && builder.addRemovedMachine("n-" + i)
              && removedMachines.add("n-" + i);
    }
    byte[] encoded = builder.encode(77);
    assertTrue(encoded.length <= maxBytes, encoded.length + " bytes of " + maxBytes);
    LogSegment decoded = LogSegment.read(Json.readObject(encoded));
    assertEquals(77, decoded.number());
    assertEquals(machines, Set.copyOf(decoded.machines()));
    assertEquals(placements, Set.copyOf(decoded.placements()));
    assertEquals(endedAttempts, Set.copyOf(decoded.endedAttempts()));
    assertEquals(images, Set.copyOf(decoded.images()));
    assertEquals(removedMachines, Set.copyOf(decoded.removedMachines()));
    assertTrue(
        placements.size() > maxBytes / 1024,
        "only " + placements.size() + " placements in " + maxBytes);
  }

  /**
   * Users choose image names. If the escapes of control characters are not counted, a segment
   * reaches 25 KiB instead of 16, and the store refuses it and all later writes of the leader.
   */
  @ParameterizedTest
  @ValueSource(strings = {"\u0001", "\"", "\u20ac", "\ud83d\ude00"})
  void segmentStaysWithinSizeLimitForAnyImageName(String character)
      throws MalformedMessageException {
    LogSegmentBuilder builder = new LogSegmentBuilder(15 * 1024);
    int count = 0;
    while (builder.add(
        new LogSegment.CachedImage(
            character.repeat(200 / character.length() - 8) + count, 1.5, "m-000001"))) {
      count++;
    }
    byte[] encoded = builder.encode(1);
    assertTrue(encoded.length <= 15 * 1024, encoded.length + " bytes");
    assertEquals(count, LogSegment.read(Json.readObject(encoded)).images().size());
    assertTrue(count > 8, "only " + count + " images");
  }

  /** A blank entry must not stop the decoding of the whole log with an unchecked exception. */
  @Test
  void blankMachineEntryIsMalformed() throws MalformedMessageException {
    JsonFields segment =
        Json.readObject(
            ("{\"n\":1,\"machines\":[{\"type\":\"a\",\"zone\":\"b\",\"spot\":true,\"owned\":true,"
                    + "\"of\":[\" \"]}],\"gone\":[],\"placed\":[],\"ended\":[],\"images\":[]}")
                .getBytes(StandardCharsets.UTF_8));
    assertThrows(MalformedMessageException.class, () -> LogSegment.read(segment));
  }
}
