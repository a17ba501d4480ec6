package madderrudder.estimates;

/**
 * The key of {@link Evidence}: the properties that its runs share. Properties that the level
 * ignores are empty or 0.
 *
 * @param level one of {@link EvidenceStore#LEVELS}
 * @param jobClass the class of the jobs, or empty
 * @param team the team of the jobs, or empty
 * @param image the image of the tasks, or empty
 * @param sizeBucket the bucket of the requested resources, or 0
 */
record ProfileKey(Level level, String jobClass, String team, String image, int sizeBucket) {}
