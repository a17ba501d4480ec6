package madderrudder.estimates;

import static madderrudder.estimates.EstimatePagesPropertiesTest.PAGE_BYTES;
import static madderrudder.estimates.EstimatePagesPropertiesTest.PAGE_COUNT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import madderrudder.estimates.Estimate.Basis;
import madderrudder.estimates.MalformedPageException.Reason;
import org.junit.jupiter.api.Test;

/**
 * Guards the format of stored pages: a leader must be able to read pages of earlier versions of the
 * program, and must report why a page is malformed.
 */
class EstimatePagesTest {
  /**
   * The only page of an estimator that observed jobs of 81 to 92 s with an owner's estimate of 60
   * s. An earlier version of the program wrote it, so it fails to load if the format changes.
   */
  private static final String STORED_PAGE =
      "AQAAAAAruHl6eAFjYGDgYWJkgABmmZbJwkAmN5QPE4fS7P/tP0BkDjMysTMxMPGycDNBtaApZYDx"
          + "mWBaGOC2sEC1sBKy5SEj0A7SzYdpIWj+cUYmeZhimHvRaST3w8xjwO9+RngoNTIyqRJvPiMLNDzg"
          + "lK34oQpb0foUqAA3fnsRsfOakYmNA69ixv9wRy5nZuJiYWQG2sGanJNYXAy3HcigowOYkB3AkphT"
          + "kg9zCB0dAYp8eCjAHMGcmZvOwHCAl37uAOcUuDtonynhVtEyZ8ItgeUIWHZCy3GIZExG9oRbQqM8"
          + "CgC4aH05";

  @Test
  void readsPageWrittenByEarlierVersion() throws MalformedPageException {
    Estimator estimator = new Estimator(100, 100);
    new EstimatePages(estimator, 1, PAGE_BYTES).restorePage(STORED_PAGE);
    assertEquals(4, estimator.profileCount());
    assertEquals(
        new Estimate(89_971_398, 85_274_709, 93_014_345, 0.8, 8, Level.WORK, Basis.RATIO),
        TaskRunFixture.estimate(estimator, "class", 60));
    assertEquals(
        List.of(new ClassSummary("class", 8, 1.425, 1.5, 1.55, 0.8)),
        estimator.summarizeClasses(5));
  }

  private static MalformedPageException restoreFailure(String text) {
    EstimatePages pages = new EstimatePages(new Estimator(100, 100), PAGE_COUNT, PAGE_BYTES);
    return assertThrows(MalformedPageException.class, () -> pages.restorePage(text));
  }

  private static byte[] encodedPage() {
    Estimator estimator =
        EstimatorPropertiesTest.trainedEstimator(List.of(1.0, 2.0, 40.0, 3.5), 60);
    return Base64.getDecoder().decode(EstimatePagesPropertiesTest.pages(estimator).get(0));
  }

  @Test
  void reportsUnsupportedVersion() {
    byte[] page = encodedPage();
    page[0]++;
    MalformedPageException failure = restoreFailure(Base64.getEncoder().encodeToString(page));
    assertEquals(Reason.UNSUPPORTED_VERSION, failure.reason());
    assertEquals("unsupported page version 2, expected 1", failure.getMessage());
  }

  @Test
  void reportsChecksumMismatchOfTruncatedPage() {
    byte[] page = encodedPage();
    byte[] cut = Arrays.copyOf(page, page.length - 1);
    assertEquals(
        Reason.CHECKSUM_MISMATCH, restoreFailure(Base64.getEncoder().encodeToString(cut)).reason());
  }

  @Test
  void reportsInvalidContentOfOtherText() {
    assertEquals(Reason.INVALID_CONTENT, restoreFailure("").reason());
    assertEquals(Reason.INVALID_CONTENT, restoreFailure("no page!").reason());
  }
}
