package madderrudder.persistence;

import java.util.HashSet;
import java.util.Set;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.Scheduler;

/**
 * Commits a leader's transactions one at a time, as a chain: each transaction is conditioned on the
 * version of the term key that the previous one wrote, and rewrites that key. A transaction that
 * reaches the store late, or was sent by a replaced leader, therefore fails its condition and
 * writes nothing. Confined to the event loop thread.
 */
final class FencedCommitter {
  private static final long RETRY_DELAY_MICROS = 150_000;

  /**
   * Receives the outcome of each transaction in exactly one call, and no call after {@link #close}.
   */
  interface Listener {
    /** The transaction is durable. */
    void committed(Transaction transaction);

    /**
     * Nothing was written: the condition on the term key held, but the conditions on {@code
     * failedKeys} did not.
     */
    void conflicted(Transaction transaction, Set<String> failedKeys);

    /** No further transaction can be committed in this term. */
    void leadershipLost(String reason);
  }

  private final Scheduler scheduler;
  private final StoreClient store;
  private final String member;
  private final long term;
  private final Listener listener;
  private long termKeyVersion;
  private long serial;
  private boolean closed;

  FencedCommitter(
      Scheduler scheduler,
      StoreClient store,
      String member,
      long term,
      long termKeyVersion,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.member = member;
    this.term = term;
    this.termKeyVersion = termKeyVersion;
    this.listener = listener;
  }

  /**
   * Starts the next transaction of the chain. The outcome of the previous one must be known
   * already.
   */
  TransactionBuilder begin() {
    serial++;
    return new TransactionBuilder(
        serial,
        new Condition(Keys.TERM, termKeyVersion),
        Write.put(Keys.TERM, TermKey.encode(term, member, serial)));
  }

  /** Sends the transaction, with retries until its outcome is known. Does nothing once closed. */
  void commit(Transaction transaction) {
    if (!closed) {
      send(transaction, false);
    }
  }

  /** Stops sending requests and ignores replies that arrive afterwards. */
  void close() {
    closed = true;
  }

  /**
   * Sends the transaction.
   *
   * @param maybeApplied whether the store may have applied an earlier copy of it, or may still do
   *     so
   */
  private void send(Transaction transaction, boolean maybeApplied) {
    store.commitUnthrottled(
        transaction.body(),
        reply -> {
          if (!closed) {
            handleReply(reply, transaction, maybeApplied);
          }
        });
  }

  private void handleReply(StoreReply<Long> reply, Transaction transaction, boolean maybeApplied) {
    switch (reply.outcome()) {
      case OK -> committed(transaction, reply.value());
      case CONFLICT -> {
        if (!reply.failedKeys().contains(Keys.TERM)) {
          listener.conflicted(transaction, new HashSet<>(reply.failedKeys()));
        } else if (maybeApplied) {
          checkEarlierCopy(transaction);
        } else {
          listener.leadershipLost("another leader has taken over");
        }
      }
      case REFUSED -> retryLater(() -> send(transaction, maybeApplied));
      // The store may have applied the unacknowledged copy, or may still do so. Sending the same
      // transaction again is safe: the term key has the expected version for at most one of the
      // copies.
      case UNKNOWN -> retryLater(() -> send(transaction, true));
      default -> listener.leadershipLost("the store rejected the transaction");
    }
  }

  private void committed(Transaction transaction, long version) {
    termKeyVersion = version;
    listener.committed(transaction);
  }

  /**
   * Reads the term key to find out whether an earlier, unacknowledged copy of the transaction
   * changed it.
   */
  private void checkEarlierCopy(Transaction transaction) {
    store.getUnthrottled(
        Keys.TERM,
        reply -> {
          if (closed) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            compareTermKey(transaction, reply.value().value(), reply.value().version());
          } else if (reply.is(Outcome.GONE)) {
            listener.leadershipLost("the term key does not exist");
          } else {
            retryLater(() -> checkEarlierCopy(transaction));
          }
        });
  }

  private void compareTermKey(Transaction transaction, JsonFields termKey, long version) {
    boolean writtenByTransaction;
    try {
      writtenByTransaction =
          TermKey.readTerm(termKey) == term && TermKey.readSerial(termKey) == transaction.serial();
    } catch (MalformedMessageException e) {
      listener.leadershipLost("the value of the term key is malformed");
      return;
    }
    if (writtenByTransaction) {
      committed(transaction, version);
    } else {
      listener.leadershipLost("another leader has taken over");
    }
  }

  private void retryLater(Runnable retry) {
    scheduler.runAfter(
        RETRY_DELAY_MICROS,
        () -> {
          if (!closed) {
            retry.run();
          }
        });
  }
}
