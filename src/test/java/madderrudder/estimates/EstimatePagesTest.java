package madderrudder.estimates;

import static madderrudder.estimates.EstimatePagesPropertiesTest.PAGES;
import static madderrudder.estimates.EstimatePagesPropertiesTest.PAGE_BYTES;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import madderrudder.estimates.Estimate.Basis;
import madderrudder.estimates.MalformedPageException.Reason;
import org.junit.jupiter.api.Test;

/** Reading pages that are stored, and the reasons why some can't be read. */
class EstimatePagesTest {
  /**
   * The only page of an estimator that had observed jobs of 81 to 92 s, whose owner's estimate was
   * 60 s, as it was written before the types of this package were renamed.
   */
  private static final String STORED_PAGE =
      "AQAAAAAruHl6eAFjYGDgYWJkgABmmZbJwkAmN5QPE4fS7P/tP0BkDjMysTMxMPGycDNBtaApZYDx"
          + "mWBaGOC2sEC1sBKy5SEj0A7SzYdpIWj+cUYmeZhimHvRaST3w8xjwO9+RngoNTIyqRJvPiMLNDzg"
          + "lK34oQpb0foUqAA3fnsRsfOakYmNA69ixv9wRy5nZuJiYWQG2sGanJNYXAy3HcigowOYkB3AkphT"
          + "kg9zCB0dAYp8eCjAHMGcmZvOwHCAl37uAOcUuDtonynhVtEyZ8ItgeUIWHZCy3GIZExG9oRbQqM8"
          + "CgC4aH05";

  @Test
  void pageInItsStoredFormIsRead() throws MalformedPageException {
    Estimator estimator = new Estimator(100, 100);
    new EstimatePages(estimator, 1, PAGE_BYTES).read(STORED_PAGE);
    assertEquals(4, estimator.size());
    assertEquals(
        new Estimate(89_971_398, 85_274_709, 93_014_345, 0.8, 8, Level.WORK, Basis.RATIO),
        Runs.ask(estimator, "class", 60));
    assertEquals(
        List.of(new ClassSummary("class", 8, 1.425, 1.5, 1.55, 0.8)), estimator.classes(5));
  }

  private static MalformedPageException refused(String text) {
    EstimatePages pages = new EstimatePages(new Estimator(100, 100), PAGES, PAGE_BYTES);
    return assertThrows(MalformedPageException.class, () -> pages.read(text));
  }

  private static byte[] somePage() {
    Estimator estimator = EstimatorPropertiesTest.learned(List.of(1.0, 2.0, 40.0, 3.5), 60);
    return Base64.getDecoder().decode(EstimatePagesPropertiesTest.pages(estimator).get(0));
  }

  @Test
  void pageOfAnotherVersionIsNamedAsSuch() {
    byte[] page = somePage();
    page[0]++;
    MalformedPageException refused = refused(Base64.getEncoder().encodeToString(page));
    assertEquals(Reason.UNSUPPORTED_VERSION, refused.reason());
    assertEquals("it is of version 2, only 1 is supported", refused.getMessage());
  }

  @Test
  void pageThatWasCutIsNamedByItsChecksum() {
    byte[] page = somePage();
    byte[] cut = Arrays.copyOf(page, page.length - 1);
    assertEquals(
        Reason.CHECKSUM_MISMATCH, refused(Base64.getEncoder().encodeToString(cut)).reason());
  }

  @Test
  void textThatIsNoPageIsNamedAsInvalid() {
    assertEquals(Reason.INVALID_CONTENT, refused("").reason());
    assertEquals(Reason.INVALID_CONTENT, refused("no page!").reason());
  }
}
