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

class LogSegmentTest {
  @ParameterizedTest
  @ValueSource(ints = {2048, 4096, 15 * 1024})
  void aFullSegmentKeepsWithinItsSizeAndIsReadBack(int size) throws MalformedMessageException {
    SplittableRandom random = new SplittableRandom(7);
    LogSegmentBuilder builder = new LogSegmentBuilder(size);
    Set<LogSegment.MachineEntry> machines = new HashSet<>();
    Set<LogSegment.Placement> placed = new HashSet<>();
    Set<LogSegment.EndedAttempt> ended = new HashSet<>();
    Set<LogSegment.CachedImage> images = new HashSet<>();
    Set<String> gone = new HashSet<>();
    boolean fits = true;
    for (long i = 1; fits; i++) {
      String machine = String.format("m-%06d", i);
      TaskId task = new TaskId("req-" + random.nextInt(5), (int) i);
      Resources resources =
          new Resources(random.nextLong(1L << 40), 8_000, random.nextLong(1L << 40));
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
      LogSegment.EndedAttempt end = new LogSegment.EndedAttempt(task, i, machine);
      LogSegment.CachedImage image =
          new LogSegment.CachedImage("img-" + random.nextInt(4), 1.5, machine);
      fits =
          builder.add(entry)
              && machines.add(entry)
              && builder.add(placement)
              && placed.add(placement)
              && builder.add(end)
              && ended.add(end)
              && builder.add(image)
              && images.add(image)
              && builder.addGone("n-" + i)
              && gone.add("n-" + i);
    }
    byte[] value = builder.render(77);
    assertTrue(value.length <= size, value.length + " bytes of " + size);
    LogSegment read = LogSegment.read(Json.readObject(value));
    assertEquals(77, read.number());
    assertEquals(machines, Set.copyOf(read.machines()));
    assertEquals(placed, Set.copyOf(read.placed()));
    assertEquals(ended, Set.copyOf(read.ended()));
    assertEquals(images, Set.copyOf(read.images()));
    assertEquals(gone, Set.copyOf(read.gone()));
    assertTrue(placed.size() > size / 1024, "only " + placed.size() + " in " + size);
  }

  /**
   * Users choose the names of images. A segment of names with control characters once came to 25
   * KiB of 16, which the store refuses, and with it everything the leader writes afterwards.
   */
  @ParameterizedTest
  @ValueSource(strings = {"\u0001", "\"", "\u20ac", "\ud83d\ude00"})
  void aSegmentKeepsWithinItsSizeWhateverTheNamesOfImages(String letter)
      throws MalformedMessageException {
    LogSegmentBuilder builder = new LogSegmentBuilder(15 * 1024);
    int count = 0;
    while (builder.add(
        new LogSegment.CachedImage(
            letter.repeat(200 / letter.length() - 8) + count, 1.5, "m-000001"))) {
      count++;
    }
    byte[] value = builder.render(1);
    assertTrue(value.length <= 15 * 1024, value.length + " bytes");
    assertEquals(count, LogSegment.read(Json.readObject(value)).images().size());
    assertTrue(count > 8, "only " + count);
  }

  /** An entry of blanks once ended the reading of the whole log with an unchecked exception. */
  @Test
  void aSegmentWithoutAMachinesNameIsMalformed() throws MalformedMessageException {
    JsonFields segment =
        Json.readObject(
            ("{\"n\":1,\"machines\":[{\"type\":\"a\",\"zone\":\"b\",\"spot\":true,\"owned\":true,"
                    + "\"of\":[\" \"]}],\"gone\":[],\"placed\":[],\"ended\":[],\"images\":[]}")
                .getBytes(StandardCharsets.UTF_8));
    assertThrows(MalformedMessageException.class, () -> LogSegment.read(segment));
  }
}
