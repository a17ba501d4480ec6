package madderrudder.estimates;

/**
 * The properties that all runs of one piece of evidence share. Properties that the level does not
 * compare are empty or 0.
 *
 * @param level one of {@link EvidenceStore#LEVELS}
 * @param jobClass the class of the jobs, or empty
 * @param team the team that owns the jobs, or empty
 * @param image the image of the tasks, or empty
 * @param sizeBucket the bucket of the requested resources, or 0
 */
record ProfileKey(Level level, String jobClass, String team, String image, int sizeBucket) {}
