package madderrudder.sim;

import java.util.List;
import java.util.SplittableRandom;

/** Submissions that must be refused, each made of a valid one. */
final class InvalidJobs {
  /** All fields but those that may be null. */
  static final List<String> REQUIRED =
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

  private static final String VALUE = "(?:\"[^\"]*\"|[^,}\\[]+|\\[[^\\]]*\\])";
  private static final List<String> VALUES = List.of("null", "[]", "{}", "-1", "1e300", "[7]");

  /** Values that no deployment can run. */
  private static final List<String[]> IMPOSSIBLE =
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

  static String from(String validJob, SplittableRandom random) {
    String field = REQUIRED.get(random.nextInt(REQUIRED.size()));
    return switch (random.nextInt(3)) {
      case 0 -> without(validJob, field);
      case 1 -> with(validJob, field, VALUES.get(random.nextInt(VALUES.size())));
      default -> {
        String[] change = IMPOSSIBLE.get(random.nextInt(IMPOSSIBLE.size()));
        yield with(validJob, change[0], change[1]);
      }
    };
  }

  static String without(String validJob, String field) {
    return validJob.replaceFirst("\"" + field + "\":" + VALUE + ",?", "").replace(",}", "}");
  }

  static String with(String validJob, String field, String value) {
    return validJob.replaceFirst("\"" + field + "\":" + VALUE, "\"" + field + "\":" + value);
  }
}
