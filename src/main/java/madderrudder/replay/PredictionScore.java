package madderrudder.replay;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.TaskRun;
import org.HdrHistogram.Histogram;

/** The accuracy of one predictor: overall, by job class, by evidence and over the history. */
final class PredictionScore {
  /** The relative error up to which an estimate counts as near. */
  private static final double NEAR_TOLERANCE = 0.25;

  /** The histogram stores |ln(estimate / actual)| in thousandths. */
  private static final double HISTOGRAM_UNITS_PER_LOG_ERROR = 1_000;

  /** The largest value in the histogram, which is also recorded for an unknown estimate. */
  private static final long MAX_HISTOGRAM_VALUE = 20_000;

  private static final int SIGNIFICANT_DIGITS = 2;

  final ErrorTally overall = new ErrorTally();
  final Map<String, ErrorTally> byClass = new TreeMap<>();

  /** Keyed by the {@link #evidenceBand} of the number of runs that an estimate is based on. */
  final Map<String, ErrorTally> byEvidence = new TreeMap<>();

  /** Keyed by the index of the chunk of {@link Replay#RUNS_PER_CHUNK} predicted runs. */
  final Map<Integer, ErrorTally> byChunk = new TreeMap<>();

  /** The errors of a group of estimates. */
  static final class ErrorTally {
    private long runs;
    private long nearRuns;
    private long containedRuns;
    private final Histogram logErrors = new Histogram(MAX_HISTOGRAM_VALUE, SIGNIFICANT_DIGITS);

    private void add(TaskRun run, Estimate estimate) {
      double ratio = (double) estimate.medianMicros() / run.durationMicros();
      runs++;
      nearRuns += Math.abs(ratio - 1) <= NEAR_TOLERANCE ? 1 : 0;
      containedRuns += estimate.contains(run.durationMicros()) ? 1 : 0;
      logErrors.recordValue(toHistogramValue(estimate, ratio));
    }

    private static long toHistogramValue(Estimate estimate, double ratio) {
      if (estimate.isUnknown()) {
        return MAX_HISTOGRAM_VALUE;
      }
      double error = Math.abs(Math.log(ratio));
      return Math.min(MAX_HISTOGRAM_VALUE, Math.round(HISTOGRAM_UNITS_PER_LOG_ERROR * error));
    }

    /** Returns the number of runs in the group. */
    long runs() {
      return runs;
    }

    /** Returns the share of estimates within 25 % of the actual run time; 0 if there are none. */
    double nearShare() {
      return runs == 0 ? 0 : (double) nearRuns / runs;
    }

    /** Returns the share of runs within their prediction intervals; 0 if there are none. */
    double observedCoverage() {
      return runs == 0 ? 0 : (double) containedRuns / runs;
    }

    /**
     * Returns the median error as a factor of at least 1: half of the estimates are off by no more
     * than this factor, in either direction.
     */
    double medianErrorFactor() {
      return Math.exp(logErrors.getValueAtPercentile(50) / HISTOGRAM_UNITS_PER_LOG_ERROR);
    }
  }

  /** Returns the name of the band that a number of runs belongs to. */
  private static String evidenceBand(int runs) {
    if (runs == 0) {
      return "0";
    } else if (runs < 4) {
      return "1 to 3";
    } else if (runs < 8) {
      return "4 to 7";
    } else if (runs < 32) {
      return "8 to 31";
    }
    return "32 and more";
  }

  /**
   * Adds the estimate for a run.
   *
   * @param run the run, with the actual run time
   * @param chunk the index of the chunk of the history that the run belongs to
   * @param estimate the estimate that was made before the run
   */
  void add(TaskRun run, int chunk, Estimate estimate) {
    String band = evidenceBand(estimate.runs());
    List.of(
            overall,
            byClass.computeIfAbsent(run.profile().jobClass(), name -> new ErrorTally()),
            byEvidence.computeIfAbsent(band, name -> new ErrorTally()),
            byChunk.computeIfAbsent(chunk, number -> new ErrorTally()))
        .forEach(tally -> tally.add(run, estimate));
  }
}
