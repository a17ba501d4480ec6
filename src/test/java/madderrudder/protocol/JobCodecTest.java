package madderrudder.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CodecTest {
  private static final String JOB =
      "{'id':'req-000412','rig':'train','crew':'vision','cut':'gang','rank':'urgent',"
          + "'strokes':16,'cores':8.0,'accelerators':1.0,'mem_gb':64.0,'hull':'img-07','image_gb':6.2,"
          + "'builds':['g8'],'berth':null,'one_zone':true,'apart':false,'driftwood':true,"
          + "'reckon_s':240.0,'mark_s':30.0,'stow_s':4.0,'tide_s':900.0,'unheard_of':[1,{}]}";

  private static byte[] json(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  private static JobSpec job(String text) throws MalformedMessageException {
    return JobCodec.read(Json.readObject(json(text)));
  }

  @Test
  void readsAndKeepsAJob() throws MalformedMessageException {
    JobSpec job = job(JOB);
    assertEquals(JobKind.GANG, job.kind());
    assertEquals(new Resources(8000, 1000, 64000), job.perTask());
    assertEquals(240_000_000, job.estimateMicros());
    assertEquals(job, JobCodec.read(Json.readObject(Json.object(out -> JobCodec.write(out, job)))));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "'req-000412'|'412'",
        "'req-000412'|'req-'",
        "'req-000412'|'req-1/2'",
        "'gang'|'band'",
        "'urgent'|'now'",
        "16|0",
        "16|100001",
        "16|-1",
        "16|1.5",
        "16|18446744073709551616",
        "16|'16'",
        "8.0|-8.0",
        "8.0|1e300",
        "8.0|null",
        "'img-07'|''",
        "['g8']|[]",
        "['g8']|[8]",
        "true|1",
        "240.0|-1",
        "64.0|NaN",
        "'vision'|7"
      })
  void refusesInvalidFields(String change) {
    String[] parts = change.split("\\|", -1);
    assertThrows(MalformedMessageException.class, () -> job(JOB.replace(parts[0], parts[1])));
  }

  /** Jobs that lacked one of the last seven were once taken, with a value that nobody had said. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "id",
        "rig",
        "crew",
        "cut",
        "rank",
        "strokes",
        "cores",
        "mem_gb",
        "hull",
        "image_gb",
        "accelerators",
        "one_zone",
        "apart",
        "driftwood",
        "reckon_s",
        "mark_s",
        "stow_s"
      })
  void aJobNeedsEachFieldThatMayNotBeNull(String field) throws MalformedMessageException {
    String text = JOB.replace("16", "1");
    assertEquals(1, job(text).tasks());
    String value = "'" + field + "':('[^']*'|[^,]*)";
    assertThrows(MalformedMessageException.class, () -> job(text.replaceFirst(value + ",", "")));
    assertThrows(
        MalformedMessageException.class,
        () -> job(text.replaceFirst(value, "'" + field + "':null")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"'builds':['g8'],", "'berth':null,", "'tide_s':900.0,"})
  void whatMayBeNullMayBeLeftOut(String field) throws MalformedMessageException {
    assertTrue(JOB.contains(field));
    assertEquals(16, job(JOB.replace(field, "")).tasks());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "[]", "7", "{", "{}}", "{'a':1}x", "nul", "{'a':}"})
  void refusesWhatIsNoObject(String text) {
    assertThrows(MalformedMessageException.class, () -> Json.readObject(json(text)));
  }

  @Test
  void refusesNestingWithoutEnd() {
    assertThrows(
        MalformedMessageException.class, () -> Json.readObject(json("{'a':" + "[".repeat(30_000))));
  }

  /** Read as infinite, a number beyond all bounds was written again as a text. */
  @Test
  void numbersBeyondAllBoundsAreKeptAndTakenForNoAmount() throws MalformedMessageException {
    Fields read = Json.readObject(json("{'a':1e999,'b':-1e-999,'c':-1e99999999999999}"));
    assertEquals(
        "{\"a\":1e999,\"b\":-0.0,\"c\":-1e99999999999999}",
        new String(read.render(), StandardCharsets.UTF_8));
    assertThrows(MalformedMessageException.class, () -> read.amount("a"));
    assertThrows(MalformedMessageException.class, () -> read.count("a"));
  }

  @Test
  void readsAReport() throws MalformedMessageException {
    Heartbeat report =
        WorkerCodec.readHeartbeat(
            json(
                "{'vessel':'m-1','addr':'10.1.0.2:9000','build':'g8',"
                    + "'berth':'a','driftwood':true,'watch':2,'knot':88,'helm':41,'recall_s':3.5,'strokes':["
                    + "{'stroke':'req-000412/3','launch':2,'trim':'running'},"
                    + "{'stroke':'req-000398/0','launch':1,'trim':'ended','wake':'done'}]}"));
    assertEquals(3_500_000, report.reclaimNoticeMicros());
    assertEquals(new TaskId("req-000412", 3), report.tasks().get(0).task());
    assertEquals(TaskStatus.ExitReason.DONE, report.tasks().get(1).exitReason());
    assertTrue(report.newerThan(2, 87) && report.newerThan(1, 99) && !report.newerThan(2, 88));
  }

  @Test
  void meshFramesComeBackAndNoiseIsRefused() throws MalformedMessageException {
    List<PeerMessage> frames =
        List.of(
            new PeerMessage.NodeStatus("bollard-1", 7, "", true, 1500, 250),
            new PeerMessage.ProgressUpdate(
                9, List.of(new PeerMessage.JobProgress("req-000001", 3, 4))));
    SplittableRandom random = new SplittableRandom(3);
    int refused = 0;
    for (PeerMessage frame : frames) {
      ByteBuffer bytes = PeerMessageCodec.encode(frame);
      assertEquals(bytes.remaining() - 4, bytes.getInt());
      byte[] body = new byte[bytes.remaining()];
      bytes.get(body);
      assertEquals(frame, PeerMessageCodec.decode(ByteBuffer.wrap(body)));
      for (int cut = 0; cut < body.length; cut++) {
        ByteBuffer shorter = ByteBuffer.wrap(body, 0, cut);
        assertThrows(MalformedMessageException.class, () -> PeerMessageCodec.decode(shorter));
      }
      for (int round = 0; round < 2_000; round++) {
        byte[] noise = body.clone();
        noise[random.nextInt(noise.length)] = (byte) random.nextInt();
        try {
          PeerMessageCodec.decode(ByteBuffer.wrap(noise));
        } catch (MalformedMessageException e) {
          refused++;
        }
      }
    }
    assertTrue(refused > 500, "only " + refused + " refused");
  }

  @Test
  void amountsAreExact() throws MalformedMessageException {
    JobSpec job = job(JOB.replace("8.0", "0.1").replace("64.0", "0.7"));
    assertEquals(job.perTask().times(30), Resources.of(3, 30, 21));
    assertArrayEquals("{\"error\":\"a\"}".getBytes(StandardCharsets.UTF_8), Json.error("a"));
  }
}
