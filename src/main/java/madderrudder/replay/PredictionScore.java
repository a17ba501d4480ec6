package madderrudder.replay;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.TaskRun;
import org.HdrHistogram.Histogram;

/** How well one predictor did, altogether and by class, by evidence and over time. */
final class PredictionScore {
  /** An estimate is near if it is wrong by no more than this part of the true time. */
  private static final double NEAR = 0.25;

  /** Errors are stored in thousandths of a natural logarithm. */
  private static final double VALUES_PER_ERROR = 1_000;

  private static final long MAX_ERROR_VALUE = 20_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  final ErrorTally all = new ErrorTally();
  final Map<String, ErrorTally> byClass = new TreeMap<>();

  /** By the number of runs that an estimate went by, as {@link #evidenceBand} names it. */
  final Map<String, ErrorTally> byEvidence = new TreeMap<>();

  /** By the number of the chunk of {@link Replay#CHUNK} runs. */
  final Map<Integer, ErrorTally> byTime = new TreeMap<>();

  /** The errors of some of the estimates. */
  static final class ErrorTally {
    private long runs;
    private long near;
    private long contained;
    private final Histogram errors = new Histogram(MAX_ERROR_VALUE, SIGNIFICANT_DIGITS);

    private void add(TaskRun run, Estimate estimate) {
      double ratio = (double) estimate.medianMicros() / run.durationMicros();
      runs++;
      near += Math.abs(ratio - 1) <= NEAR ? 1 : 0;
      contained += estimate.contains(run.durationMicros()) ? 1 : 0;
      errors.recordValue(errorValue(estimate, ratio));
    }

    private static long errorValue(Estimate estimate, double ratio) {
      if (estimate.isUnknown()) {
        return MAX_ERROR_VALUE;
      }
      double error = Math.abs(Math.log(ratio));
      return Math.min(MAX_ERROR_VALUE, Math.round(VALUES_PER_ERROR * error));
    }

    long runs() {
      return runs;
    }

    /** The share of the estimates within a quarter of the true time; 0 if there are none. */
    double nearShare() {
      return runs == 0 ? 0 : (double) near / runs;
    }

    /** The share of the runs within the prediction interval; 0 if there are none. */
    double observedCoverage() {
      return runs == 0 ? 0 : (double) contained / runs;
    }

    /**
     * The error that half of the estimates do not exceed, as a factor: 1.2 is a fifth too long, or
     * as much too short.
     */
    double medianFactor() {
      return Math.exp(errors.getValueAtPercentile(50) / VALUES_PER_ERROR);
    }
  }

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

  /** Adds the estimate for a run; {@code chunk} is the step of time that the run belongs to. */
  void add(TaskRun run, int chunk, Estimate estimate) {
    String band = evidenceBand(estimate.runs());
    List.of(
            all,
            byClass.computeIfAbsent(run.profile().jobClass(), name -> new ErrorTally()),
            byEvidence.computeIfAbsent(band, name -> new ErrorTally()),
            byTime.computeIfAbsent(chunk, number -> new ErrorTally()))
        .forEach(tally -> tally.add(run, estimate));
  }
}
