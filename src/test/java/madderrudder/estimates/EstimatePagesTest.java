package madderrudder.estimates;

import static madderrudder.estimates.EstimatePagesPropertiesTest.PAGES;
import static madderrudder.estimates.EstimatePagesPropertiesTest.PAGE_BYTES;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import madderrudder.estimates.MalformedPageException.Reason;
import org.junit.jupiter.api.Test;

/** What is said of pages that can't be read. */
class EstimatePagesTest {
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
