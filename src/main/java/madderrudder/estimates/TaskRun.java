package madderrudder.estimates;

/**
 * A task has run. Without the fetch of its image it took {@code tookMicros}; {@code complete} is
 * false for one that was stopped, or had begun earlier and resumed: all that is known of the whole
 * is that it takes at least so long. {@code guessMicros} is 0 where the owner gave none. {@code
 * type} and {@code machine} may be empty.
 */
public record TaskRun(
    TaskProfile profile,
    int task,
    long attempt,
    String type,
    String machine,
    long guessMicros,
    long tookMicros,
    boolean complete) {
  private static final long LEAST_MICROS = 1_000;

  /** A month. What claims to have run for longer comes from a clock that jumped. */
  private static final long MOST_MICROS = 31L * 86_400 * 1_000_000;

  /** Whether anything can be learned from it; clocks that jump, and files, say what can't be. */
  public boolean sane() {
    return tookMicros >= LEAST_MICROS
        && tookMicros <= MOST_MICROS
        && guessMicros >= 0
        && guessMicros <= MOST_MICROS;
  }
}
