package madderrudder.estimates;

import madderrudder.protocol.Resources;

/**
 * The properties of a task by which runs are compared.
 *
 * @param job the name of the job
 * @param jobClass the class of the job
 * @param team the team that owns the job
 * @param image the image that the task runs in
 * @param resources what the task requests of its machine
 */
public record TaskProfile(
    String job, String jobClass, String team, String image, Resources resources) {

  private static final int BITS_PER_RESOURCE = 6;

  /** The key under which evidence of this task is kept at a level above {@link Level#JOB}. */
  ProfileKey keyAt(Level level) {
    return switch (level) {
      case WORK -> new ProfileKey(level, jobClass, team, image, sizeBucket());
      case TEAM -> new ProfileKey(level, jobClass, team, "", 0);
      case CLASS -> new ProfileKey(level, jobClass, "", "", 0);
      case ALL -> new ProfileKey(level, "", "", "", 0);
      default -> throw new IllegalArgumentException("no profile key at level " + level);
    };
  }

  /** Tasks are of one size if each resource is the same but for a factor of less than two. */
  private int sizeBucket() {
    return (bitLength(resources.milliCpus()) << (2 * BITS_PER_RESOURCE))
        | (bitLength(resources.milliGpus()) << BITS_PER_RESOURCE)
        | bitLength(resources.memoryMb());
  }

  private static int bitLength(long amount) {
    return Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, amount));
  }
}
