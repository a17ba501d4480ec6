package madderrudder.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.SplittableRandom;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;

/**
 * Guards against progress chunks that exceed the store's limit on the size of a value or lose
 * completed tasks.
 */
class JobRecordsTest {
  @Test
  void progressOfLargestJobFitsIntoValuesAndDecodesUnchanged() throws MalformedMessageException {
    SplittableRandom random = new SplittableRandom(5);
    BitSet done = new BitSet();
    for (int i = 0; i < 100_000; i++) {
      done.set(i, random.nextBoolean());
    }
    BitSet decoded = new BitSet();
    for (int chunk = 0; chunk <= 100_000 / JobRecords.TASKS_PER_CHUNK; chunk++) {
      byte[] encoded = JobRecords.encodeProgress(done, chunk, false);
      assertTrue(encoded.length < 8 * 1024);
      JobRecords.decodeProgress(Json.readObject(encoded), chunk, decoded);
    }
    assertEquals(done, decoded);
  }
}
