package madderrudder.estimates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against evidence that is lost or changed when pages are written and read, and against
 * malformed pages that are read in part.
 */
class EstimatePagesPropertiesTest {
  @Provide
  Arbitrary<List<Double>> times() {
    return new EstimatorPropertiesTest().times();
  }

  static final int PAGE_COUNT = 3;
  static final int PAGE_BYTES = 15_000;

  static List<String> pages(Estimator estimator) {
    EstimatePages pages = new EstimatePages(estimator, PAGE_COUNT, PAGE_BYTES);
    List<String> texts = new ArrayList<>();
    for (int page = 0; page < PAGE_COUNT; page++) {
      texts.add(pages.encodePage(page));
    }
    return texts;
  }

  /** An estimator restored from pages in any order gives the same estimates as the original. */
  @Property(tries = 100)
  void pagesRestoreTheSameEstimates(
      @ForAll("times") List<Double> timesS,
      @ForAll @IntRange(min = 0, max = 1) int ownerEstimateMinutes,
      @ForAll Random random)
      throws MalformedPageException {
    Estimator estimator =
        EstimatorPropertiesTest.trainedEstimator(timesS, 60 * ownerEstimateMinutes);
    List<String> texts = pages(estimator);
    Collections.shuffle(texts, random);
    Estimator restored = new Estimator(100, 100);
    for (String text : texts) {
      assertTrue(text.length() <= PAGE_BYTES);
      new EstimatePages(restored, PAGE_COUNT, PAGE_BYTES).restorePage(text);
    }
    assertEquals(
        TaskRunFixture.estimate(estimator, "class", 60 * ownerEstimateMinutes),
        TaskRunFixture.estimate(restored, "class", 60 * ownerEstimateMinutes));
    assertEquals(estimator.profileCount(), restored.profileCount());
  }

  /** A page with one changed byte, or truncated at any position, is rejected as a whole. */
  @Property(tries = 300)
  void corruptPageIsRejectedAsAWhole(@ForAll Random random) {
    String text =
        pages(EstimatorPropertiesTest.trainedEstimator(List.of(1.0, 2.0, 40.0, 3.5), 60))
            .get(random.nextInt(PAGE_COUNT));
    byte[] bytes = Base64.getDecoder().decode(text);
    byte[] corrupt =
        random.nextBoolean() ? Arrays.copyOf(bytes, random.nextInt(bytes.length)) : bytes;
    if (corrupt == bytes) {
      corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 + random.nextInt(255));
    }
    Estimator estimator = new Estimator(100, 100);
    EstimatePages pages = new EstimatePages(estimator, PAGE_COUNT, PAGE_BYTES);
    assertThrows(
        MalformedPageException.class,
        () -> pages.restorePage(Base64.getEncoder().encodeToString(corrupt)));
    assertEquals(0, estimator.profileCount());
  }
}
