package madderrudder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against invalid job submissions that are accepted, against error messages that do not name
 * the invalid field, and against jobs that change when they are stored and read back.
 */
class JobCodecTest {
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
  void readsSubmittedJob() throws MalformedMessageException {
    JobSpec job = job(JOB);
    assertEquals(JobKind.GANG, job.kind());
    assertEquals(Priority.HIGH, job.priority());
    assertEquals(Resources.ofThousandths(8000, 1000, 64000), job.resourcesPerTask());
    assertEquals(240_000_000, job.estimateMicros());
  }

  @Test
  void writtenJobRoundTrips() throws MalformedMessageException {
    JobSpec job = job(JOB);
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
  void refusesInvalidField(String change) {
    String[] parts = change.split("\\|", -1);
    assertThrows(MalformedMessageException.class, () -> job(JOB.replace(parts[0], parts[1])));
  }

  /**
   * Guards against defaults in place of required fields: the codec used to accept a job without one
   * of the last seven and to fill in a value.
   */
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
  void refusesJobWithoutRequiredField(String field) throws MalformedMessageException {
    String text = JOB.replace("16", "1");
    assertEquals(1, job(text).tasks());
    String fieldPattern = "'" + field + "':('[^']*'|[^,]*)";
    assertThrows(
        MalformedMessageException.class, () -> job(text.replaceFirst(fieldPattern + ",", "")));
    assertThrows(
        MalformedMessageException.class,
        () -> job(text.replaceFirst(fieldPattern, "'" + field + "':null")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"'builds':['g8'],", "'berth':null,", "'tide_s':900.0,"})
  void acceptsJobWithoutOptionalField(String field) throws MalformedMessageException {
    assertTrue(JOB.contains(field));
    assertEquals(16, job(JOB.replace(field, "")).tasks());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "gang|band|cut|field cut is invalid|band",
        "urgent|now|rank|field rank is invalid|now",
        ":16|:100001|strokes|field strokes is out of range|100001",
        "img-07||hull|field hull is missing or invalid|''",
        "240.0|-1|reckon_s|field reckon_s is missing or invalid|-1",
      })
  void namesInvalidFieldAndItsValue(
      String valid, String invalid, String field, String message, String value) {
    String text = JOB.replace(valid, invalid == null ? "" : invalid);
    MalformedMessageException exception =
        assertThrows(MalformedMessageException.class, () -> job(text));
    assertEquals(Optional.of(field), exception.field());
    assertEquals(Optional.of(value), exception.value());
    assertEquals(message, exception.getMessage());
    assertEquals(message + ": " + value, exception.detail());
  }

  @Test
  void namesMissingFieldWithoutValue() {
    MalformedMessageException exception =
        assertThrows(MalformedMessageException.class, () -> job(JOB.replace("'crew'", "'x'")));
    assertEquals(Optional.of("crew"), exception.field());
    assertEquals(Optional.empty(), exception.value());
    assertEquals("field crew is missing or invalid", exception.detail());
  }

  @Test
  void truncatesLongInvalidValue() {
    String text = JOB.replace("'vision'", "'" + "v".repeat(5_000) + "'");
    MalformedMessageException exception =
        assertThrows(MalformedMessageException.class, () -> job(text));
    assertEquals(Optional.of("v".repeat(80) + "..."), exception.value());
  }

  /** What a task takes must not be counted lower than its user wrote it. */
  @ParameterizedTest
  @CsvSource({
    "0.03125, 31250000",
    "0.3333, 333300000",
    "16.0004, 16000400000",
    "0.30000000000000004, 300000001",
    "0.1000000000000000000000000000000000001, 100000001",
    "0.0000000001, 1",
    "1e-300, 1",
    "1E+3, 1000000000000",
    "1e14, 2000000000000000000"
  })
  void countsTaskAmountsInBillionthsRoundedUp(String written, long nanoCpus)
      throws MalformedMessageException {
    assertEquals(nanoCpus, job(JOB.replace("8.0", written)).resourcesPerTask().nanoCpus());
  }

  @ParameterizedTest
  @ValueSource(strings = {"0.03125", "0.3333", "123456789.123456789", "0.000000001"})
  void writtenAmountRoundTrips(String written) throws MalformedMessageException {
    JobSpec job = job(JOB.replace("8.0", written).replace("64.0", written));
    assertEquals(job, JobCodec.read(Json.readObject(Json.object(out -> JobCodec.write(out, job)))));
  }

  @ParameterizedTest
  @ValueSource(strings = {"-0.1", "-1e-30", "1e16", "1e999", "'8'", "0"})
  void refusesUnusableAmountAndNamesIt(String written) {
    String text = JOB.replace("8.0", written).replace("'accelerators':1.0", "'accelerators':0");
    MalformedMessageException exception =
        assertThrows(MalformedMessageException.class, () -> job(text));
    assertEquals(Optional.of("cores"), exception.field());
  }

  @Test
  void fractionalResourcesAddUpExactly() throws MalformedMessageException {
    JobSpec job = job(JOB.replace("8.0", "0.1").replace("64.0", "0.7"));
    assertEquals(job.resourcesPerTask().times(30), Resources.of(3, 30, 21));
  }
}
