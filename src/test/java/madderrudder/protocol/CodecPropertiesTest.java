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
 * Guards against input from outside that makes a codec throw anything but {@link
 * MalformedMessageException}, and against values that differ after they are written and read back.
 * The inputs are valid messages with random mutations.
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
  private static final String STORE_RESPONSE =
      """
            {"path":"l/req-1","data":{"a":[1,2.5,"x",null,true]},"entry":412,"mooring":7,"logline":431,"more":true,
             "failed":["a/b"],"rows":[{"path":"a","data":{},"entry":3}],
             "news":[{"write":"c/9","data":{"b":1},"entry":433},{"drop":"c/d","entry":432}]}""";
  private static final String CLOUD_RESPONSE =
      """
            {"builds":[{"label":"g8","cores":96,"accelerators":8,"mem_gb":768,"local_gb":200,"fetch_gb_per_s":1.0,
             "price":12.0,"spot_price":4.5,"startup_s":45,"berths":["a","b"]}],"more":false,
             "fleet":[{"id":"m-000231","addr":"10.1.0.232:9000","build":"g8","berth":"a","driftwood":true,
             "trim":"running","held_s":61.5}]}""";

  /** A call that decodes one input. */
  private interface Decoding {
    void run() throws MalformedMessageException;
  }

  /**
   * Returns whether the input was accepted. Any exception other than that for a malformed message
   * propagates and fails the test.
   */
  private static boolean accepts(Decoding decoding) {
    try {
      decoding.run();
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  @Provide
  Arbitrary<byte[]> jobs() {
    return MutatedDocuments.mutationsOf(JOB);
  }

  @Property(seed = "21", tries = 4000)
  void acceptedJobRoundTrips(@ForAll("jobs") byte[] json) {
    boolean accepted =
        accepts(
            () -> {
              JobSpec job = JobCodec.read(Json.readObject(json));
              assertEquals(
                  job,
                  JobCodec.read(Json.readObject(Json.object(out -> JobCodec.write(out, job)))));
            });
    Statistics.label("accepted").collect(accepted);
    Statistics.label("accepted")
        .coverage(coverage -> coverage.check(true).percentage(share -> share > 10 && share < 90));
  }

  @Provide
  Arbitrary<byte[]> heartbeats() {
    return MutatedDocuments.mutationsOf(HEARTBEAT);
  }

  @Property(seed = "22", tries = 2000)
  void heartbeatIsAcceptedOrMalformed(@ForAll("heartbeats") byte[] json) {
    Statistics.collect(accepts(() -> WorkerCodec.readHeartbeat(json)));
    Statistics.coverage(
        coverage -> coverage.check(true).percentage(share -> share > 10 && share < 90));
  }

  @Provide
  Arbitrary<byte[]> storeResponses() {
    return MutatedDocuments.mutationsOf(STORE_RESPONSE);
  }

  @Property(seed = "23", tries = 2000)
  void storeResponseIsAcceptedOrMalformed(@ForAll("storeResponses") byte[] json) {
    int acceptedCount = 0;
    for (Decoding decoding :
        List.<Decoding>of(
            () -> StoreCodec.readItem(json),
            () -> StoreCodec.readRange(json),
            () -> StoreCodec.readEvents(json),
            () -> StoreCodec.readLease(json),
            () -> StoreCodec.readFailedKeys(json),
            () -> StoreCodec.readRevision(json))) {
      acceptedCount += accepts(decoding) ? 1 : 0;
    }
    Statistics.collect(acceptedCount > 0);
    Statistics.coverage(
        coverage -> coverage.check(true).percentage(share -> share > 10 && share < 99));
  }

  @Property(seed = "24", tries = 2000)
  void renderedObjectRoundTrips(@ForAll("storeResponses") byte[] json) {
    accepts(
        () -> {
          String rendered = new String(Json.readObject(json).render(), StandardCharsets.UTF_8);
          assertFalse(
              rendered.contains("Infinity"), "a number was rendered as a string: " + rendered);
          assertEquals(
              rendered,
              new String(
                  Json.readObject(rendered.getBytes(StandardCharsets.UTF_8)).render(),
                  StandardCharsets.UTF_8));
        });
  }

  @Provide
  Arbitrary<byte[]> cloudResponses() {
    return MutatedDocuments.mutationsOf(CLOUD_RESPONSE);
  }

  @Property(seed = "25", tries = 2000)
  void cloudResponseIsAcceptedOrMalformed(@ForAll("cloudResponses") byte[] json) {
    boolean isPage = accepts(() -> CloudCodec.readPage(json));
    boolean isCatalog = accepts(() -> CloudCodec.readCatalog(Json.readObject(json)));
    boolean isRented = accepts(() -> CloudCodec.readRented(json));
    assertTrue(
        !isPage || !isRented,
        "a page of the machine list was also accepted as a list of machine ids");
    Statistics.collect(isPage || isCatalog);
    Statistics.coverage(
        coverage -> coverage.check(true).percentage(share -> share > 10 && share < 99));
  }

  @Provide
  Arbitrary<PeerMessage> peerMessages() {
    Arbitrary<String> names =
        Arbitraries.strings().withCharRange('\u0000', '\ud7ff').ofMaxLength(60);
    Arbitrary<PeerMessage> nodeStatuses =
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
    Arbitrary<PeerMessage> progressUpdates =
        Combinators.combine(Arbitraries.longs(), job.list().ofMaxSize(50)).as(ProgressUpdate::new);
    Arbitrary<StampEcho> echo =
        Combinators.combine(names, Arbitraries.longs(), Arbitraries.longs()).as(StampEcho::new);
    Arbitrary<PeerMessage> membershipStatuses =
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
    Arbitrary<LeaseRenewal> renewal =
        Combinators.combine(names, Arbitraries.integers()).as(LeaseRenewal::new);
    Arbitrary<PeerMessage> renewals =
        Combinators.combine(
                names, Arbitraries.longs(), Arbitraries.longs(), renewal.list().ofMaxSize(50))
            .as(DelegatedRenewals::new);
    Arbitrary<String> bodies = Arbitraries.strings().withCharRange(' ', '~').ofMaxLength(3_000);
    Arbitrary<PeerMessage> heartbeats =
        Combinators.combine(names, Arbitraries.longs(), bodies).as(ForwardedHeartbeat::new);
    Arbitrary<PeerMessage> responses =
        Combinators.combine(Arbitraries.longs(), bodies).as(ForwardedResponse::new);
    return Arbitraries.oneOf(
        nodeStatuses, progressUpdates, membershipStatuses, renewals, heartbeats, responses);
  }

  private static ByteBuffer withoutLengthPrefix(ByteBuffer message) {
    assertEquals(message.remaining() - PeerMessageCodec.LENGTH_PREFIX_BYTES, message.getInt());
    return message.slice();
  }

  @Property(seed = "26")
  void peerMessageRoundTrips(@ForAll("peerMessages") PeerMessage message)
      throws MalformedMessageException {
    assertEquals(
        message, PeerMessageCodec.decode(withoutLengthPrefix(PeerMessageCodec.encode(message))));
  }

  @Property(seed = "27", tries = 2000)
  void corruptedPeerMessageIsAcceptedOrMalformed(
      @ForAll("peerMessages") PeerMessage message,
      @ForAll @Size(max = 6) List<Integer> positions,
      @ForAll byte value) {
    ByteBuffer bytes = withoutLengthPrefix(PeerMessageCodec.encode(message));
    for (int position : positions) {
      bytes.put(Math.floorMod(position, bytes.limit()), value);
    }
    if (positions.size() % 2 == 1) {
      bytes.limit(Math.floorMod(positions.get(0), bytes.limit()) + 1);
    }
    Statistics.collect(accepts(() -> PeerMessageCodec.decode(bytes)));
    Statistics.coverage(coverage -> coverage.check(false).percentage(share -> share > 10));
  }
}
