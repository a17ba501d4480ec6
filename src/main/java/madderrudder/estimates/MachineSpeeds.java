package madderrudder.estimates;

/**
 * How much slower or faster than the rest single machines and types of machines are, against what
 * was predicted of their tasks.
 */
final class MachineSpeeds {
  /** A machine is slow if its tasks on average end this many standardized errors late. */
  private static final double SLOW_STANDARDIZED_ERROR = 1.5;

  private static final int MIN_MACHINE_RUNS = 4;
  private static final double MACHINE_SMOOTHING_FACTOR = 0.1;

  private static final int MIN_TYPE_RUNS = 256;
  private static final double TYPE_SMOOTHING_FACTOR = 0.002;

  /** Types whose speeds differ by less, as a logarithm, count as equally fast. */
  private static final double MIN_TYPE_DEVIATION = 0.05;

  private static final double MAX_TYPE_DEVIATION = Math.log(4);

  private final DeviationTracker machines = new DeviationTracker(MACHINE_SMOOTHING_FACTOR);
  private final DeviationTracker types = new DeviationTracker(TYPE_SMOOTHING_FACTOR);

  /**
   * How many times as long as elsewhere tasks take on machines of the type; 1 for a type that is
   * empty, or of which fewer than 256 runs have been seen.
   */
  double typeFactor(String machineType) {
    double deviation = types.deviationFromOthers(machineType, MIN_TYPE_RUNS);
    return Math.abs(deviation) < MIN_TYPE_DEVIATION ? 1 : Math.exp(deviation);
  }

  /**
   * Takes in a complete run, and says whether its machine is so much slower than others that
   * nothing may be learned from what runs on it.
   *
   * @param durationMicros the time of the run divided by the factor of the machine's type
   */
  boolean isSlow(TaskRun run, Prediction prediction, double durationMicros) {
    types.add(
        run.machineType(),
        clamp(prediction.logError((double) run.durationMicros()), MAX_TYPE_DEVIATION));
    // The upper spread may come from the faulty machine's own runs; the lower one does not.
    double spread = Math.min(prediction.logSpreadBelow(), prediction.logSpreadAbove());
    double error = prediction.logError(durationMicros) / spread;
    machines.add(run.machine(), clamp(error, ModelSelection.MAX_LOSS));
    return machines.deviationFromOthers(run.machine(), MIN_MACHINE_RUNS) > SLOW_STANDARDIZED_ERROR;
  }

  private static double clamp(double value, double limit) {
    return Math.max(-limit, Math.min(limit, value));
  }

  void merge(MachineSpeeds other) {
    machines.merge(other.machines);
    types.merge(other.types);
  }
}
