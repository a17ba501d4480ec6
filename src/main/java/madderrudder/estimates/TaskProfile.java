package madderrudder.estimates;

import madderrudder.protocol.Resources;

/** What runs have in common, or not. */
public record TaskProfile(String job, String jobClass, String team, String image, Resources takes) {

  /** The runs that are alike on a level; which job they belong to is kept apart from these. */
  record JobKind(Level level, String jobClass, String team, String image, int size) {}

  JobKind kind(Level level) {
    return switch (level) {
      case WORK -> new JobKind(level, jobClass, team, image, size());
      case TEAM -> new JobKind(level, jobClass, team, "", 0);
      case CLASS -> new JobKind(level, jobClass, "", "", 0);
      case ALL -> new JobKind(level, "", "", "", 0);
      default -> throw new IllegalArgumentException("no kind on level " + level);
    };
  }

  /** Tasks are of one size if each resource is the same but for a factor of less than two. */
  private int size() {
    return (doublings(takes.milliCpus()) << 12)
        | (doublings(takes.milliGpus()) << 6)
        | doublings(takes.memoryMb());
  }

  private static int doublings(long amount) {
    return 64 - Long.numberOfLeadingZeros(Math.max(0, amount));
  }
}
