package madderrudder.replay;

import java.util.Map;
import java.util.TreeMap;
import madderrudder.estimates.Estimate;
import org.HdrHistogram.Histogram;

/** How well one way of foretelling did, altogether and part by part. */
final class Score {
  static final double QUARTER = 0.25;

  /** Errors are kept in thousandths of a natural logarithm. */
  private static final double MILLI = 1_000;

  private static final long MOST_ERROR = 20_000;

  final Tally all = new Tally();
  final Map<String, Tally> byClass = new TreeMap<>();
  final Map<String, Tally> byEvidence = new TreeMap<>();
  final Map<Integer, Tally> byTime = new TreeMap<>();

  /** Counts of runs. */
  static final class Tally {
    long runs;
    long within;
    long held;
    private final Histogram errors = new Histogram(MOST_ERROR, 2);

    void add(double error, boolean near, boolean inside) {
      runs++;
      within += near ? 1 : 0;
      held += inside ? 1 : 0;
      errors.recordValue(Math.min(MOST_ERROR, Math.round(MILLI * error)));
    }

    double withinShare() {
      return runs == 0 ? 0 : (double) within / runs;
    }

    double heldShare() {
      return runs == 0 ? 0 : (double) held / runs;
    }

    /**
     * The error that half of the estimates do not exceed, as a factor: 1.2 is a fifth too long, or
     * as much too short.
     */
    double medianFactor() {
      return Math.exp(errors.getValueAtPercentile(50) / MILLI);
    }
  }

  static String evidence(int runs) {
    return runs == 0
        ? "0"
        : runs < 4 ? "1 to 3" : runs < 8 ? "4 to 7" : runs < 32 ? "8 to 31" : "32 and more";
  }

  void add(String jobClass, int chunk, Estimate estimate, long durationMicros) {
    boolean inside =
        durationMicros >= estimate.lowMicros() && durationMicros <= estimate.highMicros();
    boolean near = Math.abs((double) estimate.medianMicros() / durationMicros - 1) <= QUARTER;
    double error =
        estimate.isUnknown()
            ? MOST_ERROR / MILLI
            : Math.abs(Math.log((double) estimate.medianMicros() / durationMicros));
    for (Tally tally :
        new Tally[] {
          all,
          byClass.computeIfAbsent(jobClass, name -> new Tally()),
          byEvidence.computeIfAbsent(evidence(estimate.runs()), name -> new Tally()),
          byTime.computeIfAbsent(chunk, number -> new Tally())
        }) {
      tally.add(error, near, inside);
    }
  }
}
