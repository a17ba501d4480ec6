package madderrudder.estimates;

import madderrudder.protocol.Resources;

/**
 * The properties of a task that determine which runs are similar.
 *
 * @param job the name of the job
 * @param jobClass the class of the job
 * @param team the team that owns the job
 * @param image the image that the task runs in
 * @param resources the resources that the task requests
 */
public record TaskProfile(
    String job, String jobClass, String team, String image, Resources resources) {

  private static final int BITS_PER_RESOURCE = 6;

  /** The key of the evidence for this task at a level of {@link EvidenceStore#LEVELS}. */
  ProfileKey keyAt(Level level) {
    return switch (level) {
      case WORK -> new ProfileKey(level, jobClass, team, image, sizeBucket());
      case TEAM -> new ProfileKey(level, jobClass, team, "", 0);
      case CLASS -> new ProfileKey(level, jobClass, "", "", 0);
      case ALL -> new ProfileKey(level, "", "", "", 0);
      default -> throw new IllegalArgumentException("no profile key at level " + level);
    };
  }

  /**
   * The bit lengths of the requested resources in thousandths, packed into one number. In tasks of
   * the same bucket, the amounts of each resource differ by a factor of less than 2.
   */
  private int sizeBucket() {
    return (thousandthsBitLength(resources.nanoCpus()) << (2 * BITS_PER_RESOURCE))
        | (thousandthsBitLength(resources.nanoGpus()) << BITS_PER_RESOURCE)
        | thousandthsBitLength(resources.nanoMemoryGb());
  }

  private static int thousandthsBitLength(long nanos) {
    long thousandths = Resources.toThousandths(Math.max(0, nanos));
    return Long.SIZE - Long.numberOfLeadingZeros(thousandths);
  }
}
