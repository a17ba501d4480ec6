package madderrudder.persistence;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import madderrudder.protocol.JobState;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Pins the stored form of each kind of record. The literals are the output of an earlier version of
 * the encoders. A rename in code that changes the stored form, or makes existing values unreadable,
 * fails here.
 */
class StoredFormTest {
  private static final String TERM_KEY = "{\"term\":7,\"member\":\"node-a\",\"serial\":3}";
  private static final String FINISHED = "{\"state\":\"done\",\"done\":12}";
  private static final String PROGRESS = "{\"done\":\"BQ==\",\"faulty\":true}";
  private static final String RENTAL =
      "{\"type\":\"m5.large\",\"zone\":\"zone-a\",\"spot\":true,\"count\":4,\"counted\":false}";
  private static final String BUDGET = "{\"spent\":[{\"us\":1000000,\"n\":2}]}";
  private static final String SEGMENT =
      "{\"n\":9,"
          + "\"machines\":[{\"type\":\"m5.large\",\"zone\":\"zone-a\",\"spot\":false,\"owned\":true,"
          + "\"of\":[\"m1 5000000\"]}],"
          + "\"gone\":[\"m0\"],"
          + "\"placed\":[{\"j\":\"job-1\",\"w\":\"team-a\",\"c\":1000,\"g\":0,\"m\":2048,"
          + "\"of\":[\"3 2 m1\"]}],"
          + "\"ended\":[{\"j\":\"job-1\",\"of\":[\"1 1 m1\"]}],"
          + "\"images\":[{\"i\":\"img\",\"gb\":1.5,\"of\":[\"m1\"]}]}";

  private static final LogSegment.MachineKind KIND =
      new LogSegment.MachineKind("m5.large", "zone-a", false, true);
  private static final LogSegment.MachineEntry MACHINE =
      new LogSegment.MachineEntry("m1", KIND, 5_000_000, false);
  private static final LogSegment.Placement PLACEMENT =
      new LogSegment.Placement(
          new TaskId("job-1", 3),
          2,
          new LogSegment.Usage("team-a", Resources.ofThousandths(1000, 0, 2048)),
          "m1");
  private static final LogSegment.EndedAttempt ENDED_ATTEMPT =
      new LogSegment.EndedAttempt(new TaskId("job-1", 1), 1, "m1");
  private static final LogSegment.CachedImage IMAGE = new LogSegment.CachedImage("img", 1.5, "m1");

  @Test
  void termKeyEncodesToStoredForm() {
    assertEquals(TERM_KEY, text(TermKey.encode(7, "node-a", 3)));
  }

  @Test
  void termKeyDecodesFromStoredForm() throws MalformedMessageException {
    assertEquals(7, TermKey.readTerm(Json.readObject(bytes(TERM_KEY))));
  }

  @Test
  void finishedJobEncodesToStoredForm() {
    assertEquals(FINISHED, text(JobRecords.encodeFinished(JobState.DONE, 12)));
  }

  @Test
  void finishedJobDecodesFromStoredForm() throws MalformedMessageException {
    assertEquals(
        new JobRecords.Finished(JobState.DONE, 12),
        JobRecords.decodeFinished(Json.readObject(bytes(FINISHED))));
  }

  @Test
  void progressEncodesToStoredForm() {
    assertEquals(
        PROGRESS, text(JobRecords.encodeProgress(BitSet.valueOf(new long[] {5}), 0, true)));
  }

  @Test
  void progressDecodesFromStoredForm() throws MalformedMessageException {
    BitSet done = new BitSet();
    JobRecords.decodeProgress(Json.readObject(bytes(PROGRESS)), 1, done);
    assertEquals(
        BitSet.valueOf(new long[] {5}),
        done.get(JobRecords.TASKS_PER_CHUNK, 2 * JobRecords.TASKS_PER_CHUNK));
    assertEquals(2, done.cardinality());
    assertTrue(JobRecords.readFailing(Json.readObject(bytes(PROGRESS))));
  }

  @Test
  void rentalEncodesToStoredForm() {
    assertEquals(
        RENTAL, text(new RentalRecord("req-1", "m5.large", "zone-a", true, 4, false).encode()));
  }

  @Test
  void rentalDecodesFromStoredForm() throws MalformedMessageException {
    assertEquals(
        new RentalRecord("req-1", "m5.large", "zone-a", true, 4, false),
        RentalRecord.read("req-1", Json.readObject(bytes(RENTAL))));
  }

  @Test
  void rentalBudgetEncodesToStoredForm() {
    RentalBudget budget = new RentalBudget(3, 300_000_000, 0);
    assertTrue(budget.reserve(2, 1_000_000));
    assertEquals(BUDGET, text(budget.encode()));
  }

  @Test
  void rentalBudgetDecodesFromStoredForm() throws MalformedMessageException {
    RentalBudget budget = new RentalBudget(3, 300_000_000, 0);
    budget.load(Json.readObject(bytes(BUDGET)));
    assertEquals(1, budget.remaining(2_000_000));
  }

  /** Earlier versions wrote thousandths alone; the job may have been written by them too. */
  @Test
  void placementInThousandthsCountsAsBefore() throws MalformedMessageException {
    LogSegment segment = LogSegment.read(Json.readObject(bytes(SEGMENT)));
    assertEquals(
        new Resources(1_000_000_000, 0, 2_048_000_000),
        segment.placements().get(0).usage().resources());
  }

  /** An earlier version reads the thousandths, which are rounded up, and ignores the billionths. */
  @Test
  void placementWithMoreDigitsHasThousandthsForEarlierVersions() throws MalformedMessageException {
    Resources resources = Resources.of(0.03125, 0, 0.3333);
    LogSegmentBuilder builder = new LogSegmentBuilder(10_000);
    LogSegment.Placement placement =
        new LogSegment.Placement(
            new TaskId("job-1", 3), 2, new LogSegment.Usage("team-a", resources), "m1");
    assertTrue(builder.add(placement));
    String stored = text(builder.encode(9));
    assertTrue(stored.contains("\"c\":32,\"g\":0,\"m\":334,"), stored);
    LogSegment read = LogSegment.read(Json.readObject(bytes(stored)));
    assertEquals(List.of(placement), read.placements());
  }

  @Test
  void logSegmentEncodesToStoredForm() {
    LogSegmentBuilder builder = new LogSegmentBuilder(10_000);
    assertTrue(builder.add(MACHINE));
    assertTrue(builder.addRemovedMachine("m0"));
    assertTrue(builder.add(PLACEMENT));
    assertTrue(builder.add(ENDED_ATTEMPT));
    assertTrue(builder.add(IMAGE));
    assertEquals(SEGMENT, text(builder.encode(9)));
  }

  @Test
  void logSegmentDecodesFromStoredForm() throws MalformedMessageException {
    assertEquals(
        new LogSegment(
            9,
            List.of(MACHINE),
            List.of("m0"),
            List.of(PLACEMENT),
            List.of(ENDED_ATTEMPT),
            List.of(IMAGE)),
        LogSegment.read(Json.readObject(bytes(SEGMENT))));
  }

  private static String text(byte[] value) {
    return new String(value, UTF_8);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(UTF_8);
  }
}
