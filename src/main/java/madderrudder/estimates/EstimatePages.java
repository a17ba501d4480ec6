package madderrudder.estimates;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;

/**
 * Encodes the evidence of an estimator as a fixed number of text pages, from which the next leader
 * restores it after a failover. An entry always belongs to the same page, so that each page can be
 * written independently. If the entries of a page exceed its size limit, the least recently used
 * ones are dropped. Evidence on single jobs, machines and machine types is not stored because it is
 * relearned quickly.
 *
 * <p>Not thread-safe; the controller confines it to the event loop thread.
 */
public final class EstimatePages {
  /** The factor by which the number of entries is reduced if they exceed the page size. */
  private static final double SHRINK_FACTOR = 0.9;

  /** The factor by which the first attempt exceeds the number of entries that fitted last time. */
  private static final double GROWTH_FACTOR = 1.1;

  private final Estimator estimator;
  private final int pageCount;
  private final int maxPageBytes;
  private final BitSet changedPages = new BitSet();

  /**
   * By page, the number of entries in the last encoded text; 0 if the page has not been encoded.
   */
  private final int[] lastFittedCounts;

  /**
   * Creates the pages of the estimator, all marked as unchanged.
   *
   * @param estimator the estimator whose evidence is encoded, and into which stored pages are
   *     restored
   * @param pageCount the number of pages, which must be the same for all readers and writers
   * @param maxPageBytes the maximum length of the text of a page, in bytes
   */
  public EstimatePages(Estimator estimator, int pageCount, int maxPageBytes) {
    this.estimator = estimator;
    this.pageCount = pageCount;
    this.maxPageBytes = maxPageBytes;
    lastFittedCounts = new int[pageCount];
  }

  /**
   * Marks the pages that change when the estimator observes a run of the profile: the pages of its
   * evidence at each level, of the calibration scores of its class, and of those of all classes.
   */
  public void markChanged(TaskProfile profile) {
    for (Level level : EvidenceStore.LEVELS) {
      changedPages.set(profilePageIndex(profile.keyAt(level)));
    }
    changedPages.set(scoresPageIndex(profile.jobClass()));
    changedPages.set(scoresPageIndex(CalibrationKey.ALL_CLASSES));
  }

  /**
   * The first changed page at or after the given one, wrapping around; -1 if no page has changed.
   */
  public int nextChangedPage(int from) {
    int next = changedPages.nextSetBit(from);
    return next >= 0 ? next : changedPages.nextSetBit(0);
  }

  /**
   * The page of the evidence of a profile. It is the same in every process, unlike the hash code of
   * a record with an enum component.
   */
  private int profilePageIndex(ProfileKey key) {
    int hash = List.of(key.jobClass(), key.team(), key.image(), key.sizeBucket()).hashCode();
    return Math.floorMod(key.level().name().hashCode() * 31 + hash, pageCount);
  }

  /** The page of all calibration scores of a class. */
  private int scoresPageIndex(String jobClass) {
    return Math.floorMod(jobClass.hashCode(), pageCount);
  }

  /** Encodes the current entries of the page and marks it as unchanged. */
  public String encodePage(int page) {
    changedPages.clear(page);
    List<PageEntry> entries = new ArrayList<>();
    // The list is reversed below, so that the entries added first are dropped first if space runs
    // out. Scores that cover all classes are few and affect every estimate, so they are added last;
    // scores of a single class only refine estimates, so they are added first.
    addScores(entries, page, false);
    addEvidence(entries, page);
    addScores(entries, page, true);
    Collections.reverse(entries);
    return encodeFitting(entries, page);
  }

  private void addEvidence(List<PageEntry> entries, int page) {
    estimator
        .evidenceByProfile()
        .forEach(
            (key, evidence) -> {
              if (profilePageIndex(key) == page) {
                entries.add(new PageEntry.ProfileEntry(key, evidence));
              }
            });
  }

  private void addScores(List<PageEntry> entries, int page, boolean ofAllClasses) {
    estimator
        .scoresByKey()
        .forEach(
            (key, scores) -> {
              String jobClass = key.jobClass();
              if (scoresPageIndex(jobClass) == page && jobClass.isEmpty() == ofAllClasses) {
                entries.add(new PageEntry.CalibrationEntry(key, scores));
              }
            });
  }

  /**
   * Encodes as many of the first candidates as fit. The first attempt uses slightly more entries
   * than fitted last time, which limits the number of attempts.
   */
  private String encodeFitting(List<PageEntry> candidates, int page) {
    int lastFittedCount = lastFittedCounts[page];
    int initialCount =
        lastFittedCount == 0 ? candidates.size() : (int) (GROWTH_FACTOR * lastFittedCount) + 1;
    List<PageEntry> entries = candidates.subList(0, Math.min(candidates.size(), initialCount));
    while (true) {
      String text = PageCodec.encode(entries);
      if (text.length() <= maxPageBytes || entries.isEmpty()) {
        lastFittedCounts[page] = entries.size();
        return text;
      }
      entries = entries.subList(0, (int) (SHRINK_FACTOR * entries.size()));
    }
  }

  /**
   * Restores the entries of a stored page into the estimator.
   *
   * @throws MalformedPageException if the page is malformed; the estimator is unchanged then
   */
  public void restorePage(String text) throws MalformedPageException {
    List<PageEntry> entries = PageCodec.decode(text);
    Collections.reverse(entries);
    entries.forEach(entry -> entry.restoreTo(estimator));
  }
}
