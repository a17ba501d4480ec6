package madderrudder.coordination.policy;

/**
 * The fencing tokens that tell workers who may give commands: the term, and below it a count that
 * the leader of the term raises for a machine as it needs. A worker obeys nothing that carries a
 * lower token than the highest it has seen, so that raising it ends whatever was sent to it before,
 * copies that are still on their way too; and a worker that reports it has acted on an answer (the
 * users' protocol, "Tokens").
 */
public final class FencingToken {
  /** So many times a machine's token can be raised in a term: twice a second for three months. */
  private static final int COUNT_BITS = 24;

  private FencingToken() {}

  /** The lowest token of a term. */
  public static long first(long term) {
    return term << COUNT_BITS;
  }

  /** The term of a token; 0 for a worker that has seen none. */
  public static long term(long token) {
    return token >>> COUNT_BITS;
  }

  /** Whether there is a higher token in the same term. */
  public static boolean canRise(long token) {
    return term(token + 1) == term(token);
  }

  /**
   * The token with which to answer a worker that has seen the one given: the seen one if it is of
   * the term, and the lowest of the term otherwise.
   */
  public static long echo(long seen, long term) {
    return term(seen) == term ? seen : first(term);
  }
}
