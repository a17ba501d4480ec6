package madderrudder.estimates;

/**
 * Identifies a group of predictions that are calibrated together because they rest on a similar
 * amount of evidence.
 *
 * @param jobClass the class of the jobs, or empty for all classes together
 * @param level the level with the largest weight in the predictions
 * @param runCountBits the bit length of the number of runs at that level, which groups the
 *     predictions by powers of two
 */
record CalibrationKey(String jobClass, Level level, int runCountBits) {
  /** The value of {@code jobClass} in a key that covers all classes. */
  static final String ALL_CLASSES = "";

  /** The key for the prediction among predictions of the class. */
  static CalibrationKey ofClass(String jobClass, Prediction prediction) {
    int runCountBits = Integer.SIZE - Integer.numberOfLeadingZeros(prediction.runs());
    return new CalibrationKey(jobClass, prediction.level(), runCountBits);
  }

  /** The key for the prediction among predictions of all classes. */
  static CalibrationKey ofAllClasses(Prediction prediction) {
    return ofClass(ALL_CLASSES, prediction);
  }
}
