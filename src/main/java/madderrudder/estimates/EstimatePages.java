package madderrudder.estimates;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;

/**
 * Stores an estimator's evidence as a few pages of text, so that the next leader goes on from
 * there. An entry always belongs to the same page, so that each page can be written by itself. Of a
 * page's entries the most recently used are kept, as many as fit. What is known of single jobs,
 * machines and machine types is not stored: it is soon learned again.
 *
 * <p>Not safe for use by several threads; the controller confines it to the event loop thread.
 */
public final class EstimatePages {
  /** Entries that do not fit are tried again with this part of their number. */
  private static final double SHRINK_FACTOR = 0.9;

  /** The first trial has so many times the entries that fitted the last time. */
  private static final double GROWTH_FACTOR = 1.1;

  private final Estimator estimator;
  private final int pageCount;
  private final int maxPageBytes;
  private final BitSet changedPages = new BitSet();

  /** Of each page, how many entries fitted when it was last written; 0 if it was not yet. */
  private final int[] fittedEntries;

  /**
   * Pages of the estimator; all of them count as unchanged.
   *
   * @param estimator what is stored, and what stored pages are read into
   * @param pageCount the number of pages, the same for all who read and write them
   * @param maxPageBytes the greatest length of a page's text, in bytes
   */
  public EstimatePages(Estimator estimator, int pageCount, int maxPageBytes) {
    this.estimator = estimator;
    this.pageCount = pageCount;
    this.maxPageBytes = maxPageBytes;
    fittedEntries = new int[pageCount];
  }

  /**
   * Marks the pages that have changed because the estimator has observed a run: those of its
   * profile at each level, and those of its class's and of all calibration scores.
   */
  public void changed(TaskProfile profile) {
    for (Level level : EvidenceStore.LEVELS) {
      changedPages.set(pageOf(profile.keyAt(level)));
    }
    changedPages.set(pageOfScores(profile.jobClass()));
    changedPages.set(pageOfScores(CalibrationKey.ALL_CLASSES));
  }

  /** The next changed page, in turn from the given one on, or -1 if none has changed. */
  public int nextChanged(int from) {
    int next = changedPages.nextSetBit(from);
    return next >= 0 ? next : changedPages.nextSetBit(0);
  }

  /** The same in every process, unlike the hash of a record with an enum in it. */
  private int pageOf(ProfileKey key) {
    int hash = List.of(key.jobClass(), key.team(), key.image(), key.sizeBucket()).hashCode();
    return Math.floorMod(key.level().name().hashCode() * 31 + hash, pageCount);
  }

  /** All calibration scores of a class are on one page. */
  private int pageOfScores(String jobClass) {
    return Math.floorMod(jobClass.hashCode(), pageCount);
  }

  /** The text of the page as it is now; the page then counts as unchanged. */
  public String write(int page) {
    changedPages.clear(page);
    List<PageEntry> entries = new ArrayList<>();
    // Calibration scores of all classes are few, and all estimates rely on them; those of one class
    // are a refinement, and are left out first.
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
              if (pageOf(key) == page) {
                entries.add(new PageEntry.OfProfile(key, evidence));
              }
            });
  }

  private void addScores(List<PageEntry> entries, int page, boolean ofAllClasses) {
    estimator
        .scoresByKey()
        .forEach(
            (key, scores) -> {
              String jobClass = key.jobClass();
              if (pageOfScores(jobClass) == page && jobClass.isEmpty() == ofAllClasses) {
                entries.add(new PageEntry.OfCalibration(key, scores));
              }
            });
  }

  /** As many of the first entries as fit; it begins with a few more than fitted the last time. */
  private String encodeFitting(List<PageEntry> all, int page) {
    int fitted = fittedEntries[page];
    int firstTrial = fitted == 0 ? all.size() : (int) (GROWTH_FACTOR * fitted) + 1;
    List<PageEntry> entries = all.subList(0, Math.min(all.size(), firstTrial));
    while (true) {
      String text = PageCodec.encode(entries);
      if (text.length() <= maxPageBytes || entries.isEmpty()) {
        fittedEntries[page] = entries.size();
        return text;
      }
      entries = entries.subList(0, (int) (SHRINK_FACTOR * entries.size()));
    }
  }

  /**
   * Takes over the page of an earlier leader.
   *
   * @throws MalformedPageException if it can't be read as a whole; nothing of it is taken over then
   */
  public void read(String text) throws MalformedPageException {
    List<PageEntry> entries = PageCodec.decode(text);
    Collections.reverse(entries);
    entries.forEach(entry -> entry.restoreTo(estimator));
  }
}
