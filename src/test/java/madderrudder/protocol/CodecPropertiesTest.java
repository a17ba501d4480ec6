package madderrudder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.PeerMessage.LeaseRenewal;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.NodeStatus;
import madderrudder.protocol.PeerMessage.ProgressUpdate;
import madderrudder.protocol.PeerMessage.StampEcho;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.statistics.Statistics;

/**
 * Whatever arrives is read as a value or refused as malformed, without any other exception, and
 * what was written reads back the same.
 */
class CodecPropertiesTest {
  private static final String JOB =
      """
            {"id":"req-000412","rig":"train","crew":"vision","cut":"gang","rank":"urgent","strokes":16,"cores":8.0,
             "accelerators":1.0,"mem_gb":64.0,"hull":"img-07","image_gb":6.2,"builds":["g8","g4"],"berth":"a",
             "one_zone":true,"apart":false,"driftwood":true,"reckon_s":240.0,"mark_s":30.0,"stow_s":4.0,"tide_s":900.0}""";
  private static final String HEARTBEAT =
      """
            {"vessel":"m-000012","addr":"10.1.0.5:9000","build":"g8","berth":"a","driftwood":true,"watch":1,"knot":7,
             "helm":41,"recall_s":12.5,"strokes":[{"stroke":"req-000412/4","launch":2,"trim":"ended","wake":"halted",
             "stored":true},{"stroke":"req-000412/5","launch":2,"trim":"running"}]}""";
  private static final String STORE =
      """
            {"path":"l/req-1","data":{"a":[1,2.5,"x",null,true]},"entry":412,"mooring":7,"logline":431,"more":true,
             "failed":["a/b"],"rows":[{"path":"a","data":{},"entry":3}],
             "news":[{"write":"c/9","data":{"b":1},"entry":433},{"drop":"c/d","entry":432}]}""";
  private static final String CLOUD =
      """
            {"builds":[{"label":"g8","cores":96,"accelerators":8,"mem_gb":768,"local_gb":200,"fetch_gb_per_s":1.0,
             "price":12.0,"spot_price":4.5,"startup_s":45,"berths":["a","b"]}],"more":false,
             "fleet":[{"id":"m-000231","addr":"10.1.0.232:9000","build":"g8","berth":"a","driftwood":true,
             "trim":"running","held_s":61.5}]}""";

  /**
   * Reads; true if it came to a value. Any other exception than that of a malformed message goes
   * through.
   */
  private interface Reading {
    void read() throws MalformedMessageException;
  }

  private static boolean reads(Reading reading) {
    try {
      reading.read();
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  @Provide
  Arbitrary<byte[]> jobs() {
    return Documents.nearly(JOB);
  }

  @Property(seed = "21", tries = 4000)
  void aValidJobReadsBackTheSame(@ForAll("jobs") byte[] text) {
    boolean taken =
        reads(
            () -> {
              JobSpec job = JobCodec.read(Json.readObject(text));
              assertEquals(
                  job,
                  JobCodec.read(Json.readObject(Json.object(out -> JobCodec.write(out, job)))));
            });
    Statistics.label("taken").collect(taken);
    Statistics.label("taken")
        .coverage(coverage -> coverage.check(true).percentage(share -> share > 10 && share < 90));
  }

  @Provide
  Arbitrary<byte[]> heartbeats() {
    return Documents.nearly(HEARTBEAT);
  }

  @Property(seed = "22", tries = 2000)
  void aHeartbeatIsReadOrMalformed(@ForAll("heartbeats") byte[] text) {
    Statistics.collect(reads(() -> WorkerCodec.readHeartbeat(text)));
    Statistics.coverage(
        coverage -> coverage.check(true).percentage(share -> share > 10 && share < 90));
  }

  @Provide
  Arbitrary<byte[]> storeResponses() {
    return Documents.nearly(STORE);
  }

  @Property(seed = "23", tries = 2000)
  void aResponseOfTheStoreIsReadOrMalformed(@ForAll("storeResponses") byte[] text) {
    int read = 0;
    for (Reading reading :
        List.<Reading>of(
            () -> StoreCodec.readItem(text),
            () -> StoreCodec.readRange(text),
            () -> StoreCodec.readEvents(text),
            () -> StoreCodec.readLease(text),
            () -> StoreCodec.readFailed(text),
            () -> StoreCodec.readRevision(text))) {
      read += reads(reading) ? 1 : 0;
    }
    Statistics.collect(read > 0);
    Statistics.coverage(
        coverage -> coverage.check(true).percentage(share -> share > 10 && share < 99));
  }

  @Property(seed = "24", tries = 2000)
  void anyObjectRendersTheSameAgain(@ForAll("storeResponses") byte[] text) {
    reads(
        () -> {
          String kept = new String(Json.readObject(text).render(), StandardCharsets.UTF_8);
          assertFalse(kept.contains("Infinity"), "a number became a text: " + kept);
          assertEquals(
              kept,
              new String(
                  Json.readObject(kept.getBytes(StandardCharsets.UTF_8)).render(),
                  StandardCharsets.UTF_8));
        });
  }

  @Provide
  Arbitrary<byte[]> cloudResponses() {
    return Documents.nearly(CLOUD);
  }

  @Property(seed = "25", tries = 2000)
  void aResponseOfTheCloudIsReadOrMalformed(@ForAll("cloudResponses") byte[] text) {
    boolean page = reads(() -> CloudCodec.readPage(text));
    boolean catalog = reads(() -> CloudCodec.readCatalog(Json.readObject(text)));
    boolean rented = reads(() -> CloudCodec.readRented(text));
    assertTrue(!page || !rented, "a list of machines is no list of names");
    Statistics.collect(page || catalog);
    Statistics.coverage(
        coverage -> coverage.check(true).percentage(share -> share > 10 && share < 99));
  }

  @Provide
  Arbitrary<PeerMessage> peerMessages() {
    Arbitrary<String> names =
        Arbitraries.strings().withCharRange('\u0000', '\ud7ff').ofMaxLength(60);
    Arbitrary<PeerMessage> statuses =
        Combinators.combine(
                names,
                Arbitraries.longs(),
                names,
                Arbitraries.of(true, false),
                Arbitraries.integers(),
                Arbitraries.integers())
            .as(NodeStatus::new);
    Arbitrary<JobProgress> job =
        Combinators.combine(names, Arbitraries.integers(), Arbitraries.integers())
            .as(JobProgress::new);
    Arbitrary<PeerMessage> progress =
        Combinators.combine(Arbitraries.longs(), job.list().ofMaxSize(50)).as(ProgressUpdate::new);
    Arbitrary<StampEcho> echo =
        Combinators.combine(names, Arbitraries.longs(), Arbitraries.longs()).as(StampEcho::new);
    Arbitrary<PeerMessage> memberships =
        Combinators.combine(
                names,
                Arbitraries.longs(),
                Arbitraries.longs(),
                Arbitraries.longs(),
                Arbitraries.longs(),
                Arbitraries.longs(),
                Arbitraries.integers(),
                echo.list().ofMaxSize(5))
            .as(MembershipStatus::new);
    Arbitrary<LeaseRenewal> answer =
        Combinators.combine(names, Arbitraries.integers()).as(LeaseRenewal::new);
    Arbitrary<PeerMessage> renewals =
        Combinators.combine(
                names, Arbitraries.longs(), Arbitraries.longs(), answer.list().ofMaxSize(50))
            .as(DelegatedRenewals::new);
    Arbitrary<String> bodies = Arbitraries.strings().withCharRange(' ', '~').ofMaxLength(3_000);
    Arbitrary<PeerMessage> heartbeats =
        Combinators.combine(names, Arbitraries.longs(), bodies).as(ForwardedHeartbeat::new);
    Arbitrary<PeerMessage> responses =
        Combinators.combine(Arbitraries.longs(), bodies).as(ForwardedResponse::new);
    return Arbitraries.oneOf(statuses, progress, memberships, renewals, heartbeats, responses);
  }

  private static ByteBuffer withoutLength(ByteBuffer message) {
    assertEquals(message.remaining() - PeerMessageCodec.PREFIX_BYTES, message.getInt());
    return message.slice();
  }

  @Property(seed = "26")
  void aPeerMessageReadsBackTheSame(@ForAll("peerMessages") PeerMessage message)
      throws MalformedMessageException {
    assertEquals(message, PeerMessageCodec.decode(withoutLength(PeerMessageCodec.encode(message))));
  }

  @Property(seed = "27", tries = 2000)
  void aDamagedPeerMessageIsReadOrMalformed(
      @ForAll("peerMessages") PeerMessage message,
      @ForAll @Size(max = 6) List<Integer> places,
      @ForAll byte value) {
    ByteBuffer bytes = withoutLength(PeerMessageCodec.encode(message));
    for (int place : places) {
      bytes.put(Math.floorMod(place, bytes.limit()), value);
    }
    if (places.size() % 2 == 1) {
      bytes.limit(Math.floorMod(places.get(0), bytes.limit()) + 1);
    }
    Statistics.collect(reads(() -> PeerMessageCodec.decode(bytes)));
    Statistics.coverage(coverage -> coverage.check(false).percentage(share -> share > 10));
  }
}
