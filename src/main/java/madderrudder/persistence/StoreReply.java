package madderrudder.persistence;

import java.util.List;

/**
 * What came of a call to the store. {@code failed} names the keys whose conditions did not hold.
 */
public record StoreReply<T>(Outcome outcome, T value, List<String> failed) {
  /** What is known of the call. */
  public enum Outcome {
    OK,
    /** The key, lease or range is not there (404, 410, or a write on a lease that ended). */
    GONE,
    /** A condition did not hold; nothing was written. */
    CONFLICT,
    /** Surely not executed: refused, over a rate, or never sent. */
    REFUSED,
    /** No answer: perhaps executed, perhaps executed later. */
    UNKNOWN
  }

  static <T> StoreReply<T> of(Outcome outcome) {
    return new StoreReply<>(outcome, null, List.of());
  }

  static <T> StoreReply<T> ok(T value) {
    return new StoreReply<>(Outcome.OK, value, List.of());
  }

  public boolean is(Outcome other) {
    return outcome == other;
  }
}
