package madderrudder.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import madderrudder.persistence.LogSegment.CachedImage;
import madderrudder.persistence.LogSegment.EndedAttempt;
import madderrudder.persistence.LogSegment.MachineEntry;
import madderrudder.persistence.LogSegment.MachineKind;
import madderrudder.persistence.LogSegment.Placement;
import madderrudder.persistence.LogSegment.Usage;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.MutatedDocuments;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.statistics.Statistics;

/**
 * Guards against stored records that lose or change entries, segments that exceed their size limit,
 * and altered segments that cause any exception but the one that reports a malformed record. The
 * records are generated.
 */
class RecordPropertiesTest {
  private static final String SEGMENT =
      """
            {"n":7,"machines":[{"type":"g8","zone":"a","spot":true,"owned":false,"of":["m-1 1790000000000000 r","m-2 5"]}],
             "gone":["m-3"],"placed":[{"j":"req-1","w":"alto","c":4000,"g":0,"m":16000,"of":["0 41 m-1","7 41 m-2"]}],
             "ended":[{"j":"req-2","of":["3 40 m-1"]}],"images":[{"i":"img","gb":1.5,"of":["m-1"]}]}""";

  /** Names chosen by users may contain any character. */
  private static Arbitrary<String> names() {
    return Arbitraries.oneOf(
        Arbitraries.strings().withCharRange('a', 'z').ofMinLength(1).ofMaxLength(200),
        Arbitraries.strings().withCharRange('\u0000', '\u001f').ofMinLength(1).ofMaxLength(200),
        Arbitraries.strings()
            .withChars('"', '\\', '\u20ac', '\u007f', '\ud800')
            .ofMinLength(1)
            .ofMaxLength(200));
  }

  private static Arbitrary<String> machines() {
    return Arbitraries.integers()
        .between(0, 999_999)
        .map(number -> String.format("m-%06d", number));
  }

  private static Arbitrary<TaskId> tasks() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 30), Arbitraries.integers().between(0, 99_999))
        .as((job, index) -> new TaskId("req-" + job, index));
  }

  @Provide
  Arbitrary<List<Record>> entries() {
    Arbitrary<Long> numbers = Arbitraries.longs().greaterOrEqual(0);
    Arbitrary<MachineKind> kinds =
        Combinators.combine(
                Arbitraries.of("g8", "small"),
                Arbitraries.of("east", "west"),
                Arbitraries.of(true, false),
                Arbitraries.of(true, false))
            .as(MachineKind::new);
    Arbitrary<Record> machine =
        Combinators.combine(machines(), kinds, numbers, Arbitraries.of(true, false))
            .as(MachineEntry::new);
    Arbitrary<Usage> usage =
        Combinators.combine(names(), numbers, numbers, numbers)
            .as(
                (team, nanoCpus, nanoGpus, nanoMemoryGb) ->
                    new Usage(team, new Resources(nanoCpus, nanoGpus, nanoMemoryGb)));
    Arbitrary<Record> placement =
        Combinators.combine(tasks(), numbers, usage, machines()).as(Placement::new);
    Arbitrary<Record> endedAttempt =
        Combinators.combine(tasks(), numbers, machines()).as(EndedAttempt::new);
    Arbitrary<Record> image =
        Combinators.combine(names(), Arbitraries.doubles().between(0, 1e15), machines())
            .as(CachedImage::new);
    return Arbitraries.oneOf(machine, placement, endedAttempt, image).list().ofMaxSize(120);
  }

  @Property(seed = "31")
  void segmentContainsExactlyTheEntriesThatFit(
      @ForAll("entries") List<Record> entries,
      @ForAll @IntRange(min = 200, max = 16_384) int maxBytes)
      throws MalformedMessageException {
    LogSegmentBuilder builder = new LogSegmentBuilder(maxBytes);
    List<Record> added = new ArrayList<>();
    for (Record entry : entries) {
      boolean fits =
          entry instanceof MachineEntry machine
              ? builder.add(machine)
              : entry instanceof Placement placement
                  ? builder.add(placement)
                  : entry instanceof EndedAttempt endedAttempt
                      ? builder.add(endedAttempt)
                      : builder.add((CachedImage) entry);
      if (fits) {
        added.add(entry);
      }
    }
    byte[] segment = builder.encode(7);
    assertTrue(segment.length <= maxBytes, segment.length + " bytes of " + maxBytes);
    LogSegment decoded = LogSegment.read(Json.readObject(segment));
    List<Record> decodedEntries = new ArrayList<>(decoded.machines());
    decodedEntries.addAll(decoded.placements());
    decodedEntries.addAll(decoded.endedAttempts());
    decodedEntries.addAll(decoded.images());
    assertEquals(added.size(), decodedEntries.size());
    assertEquals(new HashSet<>(added), new HashSet<>(decodedEntries));
  }

  @Provide
  Arbitrary<byte[]> segments() {
    return MutatedDocuments.mutationsOf(SEGMENT);
  }

  @Property(seed = "32", tries = 3000)
  void alteredSegmentDecodesOrIsMalformed(@ForAll("segments") byte[] text) {
    boolean decodes;
    try {
      LogSegment.read(Json.readObject(text));
      decodes = true;
    } catch (MalformedMessageException e) {
      decodes = false;
    }
    Statistics.collect(decodes);
    Statistics.coverage(
        coverage -> coverage.check(true).percentage(share -> share > 10 && share < 90));
  }

  @Property(seed = "33")
  void progressDecodesUnchanged(
      @ForAll @IntRange(min = 0, max = 3) int chunk,
      @ForAll List<@IntRange(min = 0, max = JobRecords.TASKS_PER_CHUNK - 1) Integer> tasks)
      throws MalformedMessageException {
    BitSet done = new BitSet();
    tasks.forEach(task -> done.set(chunk * JobRecords.TASKS_PER_CHUNK + task));
    BitSet decoded = new BitSet();
    JobRecords.decodeProgress(
        Json.readObject(JobRecords.encodeProgress(done, chunk, false)), chunk, decoded);
    assertEquals(done, decoded);
  }
}
