package madderrudder.coordination.policy;

/**
 * The fencing tokens by which workers reject stale commands. A token holds the term in its high
 * bits and, below it, a counter that the leader of the term raises per machine when needed. A
 * worker ignores each message with a lower token than the highest it has seen. Raising the token
 * therefore invalidates everything sent to the worker before, including copies in flight, and a
 * worker that reports the raised token has processed an answer (see "Tokens" in the users'
 * protocol).
 */
public final class FencingToken {
  /** Allows 2^24 raises per machine and term, which is two per second for three months. */
  private static final int COUNTER_BITS = 24;

  private FencingToken() {}

  /** Returns the lowest token of a term. */
  public static long firstOfTerm(long term) {
    return term << COUNTER_BITS;
  }

  /** Returns the term of a token; 0 for the token 0 of a worker that has seen none. */
  public static long term(long token) {
    return token >>> COUNTER_BITS;
  }

  /** Whether the token can be raised within its term. */
  public static boolean canRise(long token) {
    return term(token + 1) == term(token);
  }

  /**
   * Returns the token for an answer that must not raise the worker's token within the term: the one
   * that the worker has seen if it belongs to the term, otherwise the lowest of the term.
   *
   * @param seen the highest token that the worker has seen
   */
  public static long tokenForAnswer(long seen, long term) {
    return term(seen) == term ? seen : firstOfTerm(term);
  }
}
