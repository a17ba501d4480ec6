package madderrudder.estimates;

/**
 * Tracks how much slower or faster than others each machine and machine type runs its tasks,
 * relative to their predicted run times.
 */
final class MachineSpeeds {
  /**
   * A machine is slow if the standardized errors of its runs exceed the average by more than this.
   */
  private static final double SLOW_STANDARDIZED_ERROR = 1.5;

  private static final int MIN_MACHINE_RUNS = 4;
  private static final double MACHINE_SMOOTHING_FACTOR = 0.1;

  private static final int MIN_TYPE_RUNS = 256;
  private static final double TYPE_SMOOTHING_FACTOR = 0.002;

  /** Types with a smaller absolute log deviation are treated as having average speed. */
  private static final double MIN_TYPE_LOG_DEVIATION = 0.05;

  private static final double MAX_TYPE_LOG_DEVIATION = Math.log(4);

  private final DeviationTracker machines = new DeviationTracker(MACHINE_SMOOTHING_FACTOR);
  private final DeviationTracker types = new DeviationTracker(TYPE_SMOOTHING_FACTOR);

  /**
   * The ratio of run times on machines of the type to those on average machines; 1 if the type is
   * empty, has fewer than 256 runs, or deviates by less than about 5%.
   */
  double typeFactor(String machineType) {
    double deviation = types.deviationFromAverage(machineType, MIN_TYPE_RUNS);
    return Math.abs(deviation) < MIN_TYPE_LOG_DEVIATION ? 1 : Math.exp(deviation);
  }

  /**
   * Records a complete run, and returns whether its machine is so much slower than others that its
   * runs must be excluded from learning.
   *
   * @param durationMicros the run time divided by the speed factor of the machine type
   */
  boolean recordAndCheckSlowMachine(TaskRun run, Prediction prediction, double durationMicros) {
    types.add(
        run.machineType(),
        clamp(prediction.logError((double) run.durationMicros()), MAX_TYPE_LOG_DEVIATION));
    // Earlier runs on a faulty machine may have widened the upper spread, but not the lower one.
    double spread = Math.min(prediction.logSpreadBelow(), prediction.logSpreadAbove());
    double error = prediction.logError(durationMicros) / spread;
    machines.add(run.machine(), clamp(error, ModelSelection.MAX_LOSS));
    return machines.deviationFromAverage(run.machine(), MIN_MACHINE_RUNS) > SLOW_STANDARDIZED_ERROR;
  }

  private static double clamp(double value, double limit) {
    return Math.max(-limit, Math.min(limit, value));
  }

  /** Merges the deviations of the other instance into this one. */
  void merge(MachineSpeeds other) {
    machines.merge(other.machines);
    types.merge(other.types);
  }
}
