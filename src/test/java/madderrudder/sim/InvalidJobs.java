package madderrudder.sim;

import java.util.List;
import java.util.SplittableRandom;

/** Derives submissions that must be rejected from a valid one. */
final class InvalidJobs {
  /** All fields of a submission except those that may be null. */
  static final List<String> REQUIRED_FIELDS =
      List.of(
          "id",
          "rig",
          "crew",
          "cut",
          "rank",
          "strokes",
          "cores",
          "accelerators",
          "mem_gb",
          "hull",
          "image_gb",
          "one_zone",
          "apart",
          "driftwood",
          "reckon_s",
          "mark_s",
          "stow_s");

  /** A regular expression for a JSON text, number, literal or flat array. */
  private static final String VALUE_PATTERN = "(?:\"[^\"]*\"|[^,}\\[]+|\\[[^\\]]*\\])";

  /** Values that are invalid for every required field. */
  private static final List<String> WRONG_VALUES =
      List.of("null", "[]", "{}", "-1", "1e300", "[7]");

  /** Fields with values that are invalid or that no deployment can satisfy. */
  private static final List<String[]> IMPOSSIBLE_VALUES =
      List.of(
          new String[] {"cores", "5000.0"},
          new String[] {"mem_gb", "90000.0"},
          new String[] {"crew", "\"nobody\""},
          new String[] {"accelerators", "3.0"},
          new String[] {"strokes", "100001"},
          new String[] {"strokes", "0"},
          new String[] {"cut", "\"band\""},
          new String[] {"cores", "\"4\""});

  private InvalidJobs() {}

  /**
   * Returns the job with one random field removed, made invalid, or set to a value that can't be
   * satisfied.
   */
  static String from(String validJob, SplittableRandom random) {
    String field = REQUIRED_FIELDS.get(random.nextInt(REQUIRED_FIELDS.size()));
    return switch (random.nextInt(3)) {
      case 0 -> withoutField(validJob, field);
      case 1 -> withValue(validJob, field, WRONG_VALUES.get(random.nextInt(WRONG_VALUES.size())));
      default -> {
        String[] change = IMPOSSIBLE_VALUES.get(random.nextInt(IMPOSSIBLE_VALUES.size()));
        yield withValue(validJob, change[0], change[1]);
      }
    };
  }

  static String withoutField(String validJob, String field) {
    return validJob
        .replaceFirst("\"" + field + "\":" + VALUE_PATTERN + ",?", "")
        .replace(",}", "}");
  }

  static String withValue(String validJob, String field, String value) {
    return validJob.replaceFirst(
        "\"" + field + "\":" + VALUE_PATTERN, "\"" + field + "\":" + value);
  }
}
