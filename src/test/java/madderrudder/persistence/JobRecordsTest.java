package madderrudder.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.SplittableRandom;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;

class JobRecordsTest {
  @Test
  void progressOfTheLargestJobFitsInValuesAndIsReadBack() throws MalformedMessageException {
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
}
