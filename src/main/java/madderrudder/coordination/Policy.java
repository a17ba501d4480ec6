package madderrudder.coordination;

/**
 * The operators' choices. {@code spotMode} says which rentals may take cheap machines for jobs that
 * allow them.
 */
public record Policy(long thresholdMicros, long pollMicros, int budget, long budgetWindowMicros, long idleMicros,
        SpotMode spotMode, long holdMicros) {
    /** Which rentals may be of the cheap kind. */
    public enum SpotMode { NEVER, UNCOUNTED, ALWAYS }

    public static Policy defaults() {
        return new Policy(20_000_000, 5_000_000, 10, 300_000_000, 60_000_000, SpotMode.UNCOUNTED, 3_000_000);
    }
}
