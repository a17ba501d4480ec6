package madderrudder.persistence;

import java.util.List;

/**
 * The outcome of a call to the store.
 *
 * @param outcome what is known of the call
 * @param value the result; null unless the outcome is {@link Outcome#OK}
 * @param failed the keys whose conditions did not hold; empty unless the outcome is {@link
 *     Outcome#CONFLICT}
 */
public record StoreReply<T>(Outcome outcome, T value, List<String> failed) {
  /** What is known of the call. */
  public enum Outcome {
    /** Executed; there is a value. */
    OK,
    /**
     * The key or lease does not exist, the watched revision is no longer kept, or the request is
     * invalid (400, 404, 410).
     */
    GONE,
    /** A condition did not hold; nothing was written. */
    CONFLICT,
    /** Certainly not executed: refused, over a rate, or never sent. */
    REFUSED,
    /** No readable answer: it may have been executed, or may be later. */
    UNKNOWN
  }

  static <T> StoreReply<T> of(Outcome outcome) {
    return new StoreReply<>(outcome, null, List.of());
  }

  static <T> StoreReply<T> ok(T value) {
    return new StoreReply<>(Outcome.OK, value, List.of());
  }

  /** Whether this is the outcome. */
  public boolean is(Outcome other) {
    return outcome == other;
  }
}
