package madderrudder.estimates;

/** How alike the runs are that an estimate goes by, the most alike first. */
public enum Level {
    /** Tasks of the same job, which had the same guess. */
    JOB(16),
    /** Same class, team, image and size of task. */
    WORK(8),
    /** Same class and team. */
    TEAM(16),
    CLASS(16),
    /** Whatever has run: all that is known of a class that is new. */
    ALL(32),
    /** Nothing has run: the owner's guess, and how wrong guesses usually are. */
    NONE(0);

    /**
     * A generation of jobs; between one and two of them are remembered. Twice or four times as many gain a hundredth
     * where nothing changes, and lose a sixth of the estimates where guesses drift (docs/estimates.md).
     */
    final int window;

    Level(int window) {
        this.window = window;
    }
}
