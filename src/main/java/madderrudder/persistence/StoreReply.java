package madderrudder.persistence;

import java.util.List;

/**
 * The outcome of a call to the store.
 *
 * @param outcome the outcome of the call
 * @param value the result; null unless the outcome is {@link Outcome#OK}
 * @param failedKeys the keys whose conditions did not hold; empty unless the outcome is {@link
 *     Outcome#CONFLICT}
 */
public record StoreReply<T>(Outcome outcome, T value, List<String> failedKeys) {
  /** The outcome of a call, as far as it is known. */
  public enum Outcome {
    /** Executed; the reply has a value. */
    OK,
    /**
     * The key or lease does not exist, the watched revision is no longer kept, or the request is
     * invalid (400, 404, 410).
     */
    GONE,
    /** A condition did not hold; nothing was written. */
    CONFLICT,
    /** Not executed: refused by the store, over a rate limit, or never sent. */
    REFUSED,
    /** No valid response: the store may have executed the call, or may still do so. */
    UNKNOWN
  }

  static <T> StoreReply<T> of(Outcome outcome) {
    return new StoreReply<>(outcome, null, List.of());
  }

  static <T> StoreReply<T> ok(T value) {
    return new StoreReply<>(Outcome.OK, value, List.of());
  }

  /** Returns whether the call has this outcome. */
  public boolean is(Outcome other) {
    return outcome == other;
  }
}
