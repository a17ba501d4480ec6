package madderrudder.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;

class RecordsTest {
  private static final long WINDOW = 300_000_000;

  @Test
  void progressOfTheLargestJobFitsInValuesAndComesBack() throws MalformedMessageException {
    SplittableRandom random = new SplittableRandom(5);
    BitSet done = new BitSet();
    for (int i = 0; i < 100_000; i++) {
      done.set(i, random.nextBoolean());
    }
    BitSet read = new BitSet();
    for (int chunk = 0; chunk <= 100_000 / JobRecords.CHUNK; chunk++) {
      byte[] value = JobRecords.progress(done, chunk, false);
      assertTrue(value.length < 8 * 1024);
      JobRecords.readProgress(Json.readObject(value), chunk, read);
    }
    assertEquals(done, read);
  }

  /** A page keeps within its size whatever is put in, and says again what went in. */
  @Test
  void pagesOfTheLogKeepWithinAValueAndComeBack() throws MalformedMessageException {
    SplittableRandom random = new SplittableRandom(7);
    for (int size : new int[] {2048, 4096, 15 * 1024}) {
      LogSegmentBuilder builder = new LogSegmentBuilder(size);
      Set<LogSegment.MachineEntry> machines = new HashSet<>();
      Set<LogSegment.Placement> placed = new HashSet<>();
      Set<LogSegment.EndedAttempt> ended = new HashSet<>();
      Set<LogSegment.CachedImage> images = new HashSet<>();
      Set<String> gone = new HashSet<>();
      boolean room = true;
      for (long i = 1; room; i++) {
        String machine = String.format("m-%06d", i);
        TaskId task = new TaskId("req-" + random.nextInt(5), (int) i);
        Resources takes =
            new Resources(random.nextLong(1L << 40), 8_000, random.nextLong(1L << 40));
        LogSegment.MachineEntry entry =
            new LogSegment.MachineEntry(
                machine,
                new LogSegment.MachineKind(
                    "g8", random.nextBoolean() ? "itä" : "länsi", random.nextBoolean(), true),
                i << 30,
                random.nextBoolean());
        LogSegment.Placement at =
            new LogSegment.Placement(task, i << 20, new LogSegment.Usage("töölö", takes), machine);
        LogSegment.EndedAttempt end = new LogSegment.EndedAttempt(task, i, machine);
        LogSegment.CachedImage image =
            new LogSegment.CachedImage("img-" + random.nextInt(4), 1.5, machine);
        room =
            builder.add(entry)
                && machines.add(entry)
                && builder.add(at)
                && placed.add(at)
                && builder.add(end)
                && ended.add(end)
                && builder.add(image)
                && images.add(image)
                && builder.addGone("n-" + i)
                && gone.add("n-" + i);
      }
      byte[] text = builder.render(77);
      assertTrue(text.length <= size, text.length + " bytes of " + size);
      LogSegment read = LogSegment.read(Json.readObject(text));
      assertEquals(77, read.number());
      assertEquals(machines, Set.copyOf(read.machines()));
      assertEquals(placed, Set.copyOf(read.placed()));
      assertEquals(ended, Set.copyOf(read.ended()));
      assertEquals(images, Set.copyOf(read.images()));
      assertEquals(gone, Set.copyOf(read.gone()));
      assertTrue(placed.size() > size / 1024, "only " + placed.size() + " in " + size);
    }
  }

  /**
   * Users name images as they like. A page of names with control characters once came to 25 KiB of
   * 16, which the store refuses, and with it whatever the leader writes after.
   */
  @Test
  void pagesKeepWithinAValueWhateverImagesAreCalled() throws MalformedMessageException {
    for (String letter : List.of("\u0001", "\"", "\u20ac", "\ud83d\ude00")) {
      LogSegmentBuilder builder = new LogSegmentBuilder(15 * 1024);
      int count = 0;
      while (builder.add(
          new LogSegment.CachedImage(
              letter.repeat(200 / letter.length() - 8) + count, 1.5, "m-000001"))) {
        count++;
      }
      byte[] text = builder.render(1);
      assertTrue(text.length <= 15 * 1024, text.length + " bytes");
      assertEquals(count, LogSegment.read(Json.readObject(text)).images().size());
      assertTrue(count > 8, "only " + count);
    }
  }

  /**
   * An entry of blanks ended the reading of the whole log with an exception instead of a complaint.
   */
  @Test
  void aPageWithoutAMachinesNameIsMalformed() throws MalformedMessageException {
    Fields page =
        Json.readObject(
            ("{\"n\":1,\"machines\":[{\"type\":\"a\",\"zone\":\"b\",\"spot\":true,\"owned\":true,"
                    + "\"of\":[\" \"]}],\"gone\":[],\"placed\":[],\"ended\":[],\"images\":[]}")
                .getBytes(StandardCharsets.UTF_8));
    assertThrows(MalformedMessageException.class, () -> LogSegment.read(page));
  }

  /**
   * Later pages have the last word, wherever they lie; what was on a machine that has gone has
   * gone.
   */
  @Test
  void pagesAreReadInTheOrderOfTheirNumbers() {
    LogSegment.MachineKind kind = new LogSegment.MachineKind("g8", "a", false, true);
    LogSegment.Usage share = new LogSegment.Usage("alto", Resources.of(1, 0, 1));
    TaskId first = new TaskId("req-000001", 0);
    TaskId second = new TaskId("req-000001", 1);
    LogSegment.Placement again = new LogSegment.Placement(first, 2, share, "m-2");
    LogState reading =
        LogState.of(
            List.of(
                new LogSegment(
                    9,
                    List.of(),
                    List.of("m-3"),
                    List.of(again),
                    List.of(new LogSegment.EndedAttempt(first, 1, "m-1")),
                    List.of()),
                new LogSegment(
                    4,
                    List.of(
                        new LogSegment.MachineEntry("m-1", kind, 5, false),
                        new LogSegment.MachineEntry("m-2", kind, 5, false),
                        new LogSegment.MachineEntry("m-3", kind, 5, false)),
                    List.of(),
                    List.of(
                        new LogSegment.Placement(first, 1, share, "m-1"),
                        new LogSegment.Placement(second, 3, share, "m-3")),
                    List.of(),
                    List.of())));
    assertEquals(List.of(again), List.copyOf(reading.placed()));
    assertEquals(
        List.of("m-1", "m-2"),
        reading.machines().stream().map(LogSegment.MachineEntry::id).toList());
  }

  /**
   * A gathering gang's lost task is replaced under the same attempt: that once fell out of the log,
   * and ran twice.
   */
  @Test
  void aTaskReplacedUnderItsAttemptStaysNamed() {
    LogSegment.MachineKind kind = new LogSegment.MachineKind("g8", "a", false, true);
    LogSegment.Usage share = new LogSegment.Usage("alto", Resources.of(1, 0, 1));
    TaskId task = new TaskId("req-000001", 0);
    LogSegment.Placement replaced = new LogSegment.Placement(task, 5, share, "m-2");
    LogState reading =
        LogState.of(
            List.of(
                new LogSegment(
                    1,
                    List.of(
                        new LogSegment.MachineEntry("m-1", kind, 5, false),
                        new LogSegment.MachineEntry("m-2", kind, 5, false)),
                    List.of(),
                    List.of(new LogSegment.Placement(task, 5, share, "m-1")),
                    List.of(),
                    List.of()),
                new LogSegment(
                    2,
                    List.of(),
                    List.of(),
                    List.of(replaced),
                    List.of(new LogSegment.EndedAttempt(task, 5, "m-1")),
                    List.of())));
    assertEquals(List.of(replaced), List.copyOf(reading.placed()));
  }

  /** The count survives a take-over by a node whose clock differs by all that is allowed. */
  @Test
  void budgetNeverLetsMoreThroughWithinTheWindow() throws MalformedMessageException {
    RentalBudget first = new RentalBudget(3, WINDOW, 1_000_000);
    assertTrue(first.reserve(3, 1_000_000_000));
    assertFalse(first.reserve(1, 1_000_000_000 + WINDOW));
    RentalBudget second = new RentalBudget(3, WINDOW, 1_000_000);
    second.load(Json.readObject(first.render()));
    assertEquals(0, second.left(1_000_000_000 + WINDOW + 1_999_999));
    assertEquals(3, second.left(1_000_000_000 + WINDOW + 2_000_000));
  }
}
