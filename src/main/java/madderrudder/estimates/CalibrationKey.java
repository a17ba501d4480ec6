package madderrudder.estimates;

/**
 * Predictions that are about equally good, and are calibrated together.
 *
 * @param jobClass the class of the jobs, or empty for all classes together
 * @param level the level with the largest weight in the predictions
 * @param evidenceBits the bit length of the number of runs of that level: a power of two of them
 */
record CalibrationKey(String jobClass, Level level, int evidenceBits) {
  /** The class that stands for all classes together. */
  static final String ALL_CLASSES = "";

  static CalibrationKey ofClass(String jobClass, Prediction prediction) {
    int evidenceBits = Integer.SIZE - Integer.numberOfLeadingZeros(prediction.runs());
    return new CalibrationKey(jobClass, prediction.level(), evidenceBits);
  }

  static CalibrationKey ofAllClasses(Prediction prediction) {
    return ofClass(ALL_CLASSES, prediction);
  }
}
