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
 * Commits a leader's transactions, one at a time, as a chain: each is conditioned on the version of
 * the term key that the one before wrote, and rewrites that key. So a transaction that is applied
 * late, or comes from a leader that was replaced, fails its condition and writes nothing. Confined
 * to the event loop thread.
 */
final class FencedCommitter {
  private static final long RETRY_MICROS = 150_000;

  /** Receives the outcome of a transaction: exactly one call for each, none after closing. */
  interface Listener {
    /** The transaction is durable. */
    void committed(Transaction transaction);

    /** Other conditions than the term key's failed, for these keys; nothing was written. */
    void conflicted(Transaction transaction, Set<String> failedKeys);

    /** Nothing can be committed in this term any more. */
    void lost(String reason);
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

  /** Starts the next transaction of the chain. The one before must have had its outcome. */
  TransactionBuilder begin() {
    serial++;
    return new TransactionBuilder(
        serial,
        new Condition(Keys.TERM, termKeyVersion),
        Write.put(Keys.TERM, TermKey.encode(term, member, serial)));
  }

  /** Sends the transaction until its outcome is known. Does nothing once closed. */
  void commit(Transaction transaction) {
    if (!closed) {
      send(transaction, false);
    }
  }

  /** Sends nothing any more, and ignores answers that still arrive. */
  void close() {
    closed = true;
  }

  /**
   * Sends the transaction.
   *
   * @param maybeApplied whether an earlier copy of it may have been, or may yet be, applied
   */
  private void send(Transaction transaction, boolean maybeApplied) {
    store.commitUrgent(
        transaction.body(),
        reply -> {
          if (!closed) {
            handle(reply, transaction, maybeApplied);
          }
        });
  }

  private void handle(StoreReply<Long> reply, Transaction transaction, boolean maybeApplied) {
    switch (reply.outcome()) {
      case OK -> committed(transaction, reply.value());
      case CONFLICT -> {
        if (!reply.failed().contains(Keys.TERM)) {
          listener.conflicted(transaction, new HashSet<>(reply.failed()));
        } else if (maybeApplied) {
          checkEarlierCopy(transaction);
        } else {
          listener.lost("another leader has taken over");
        }
      }
      case REFUSED -> retryLater(() -> send(transaction, maybeApplied));
      // The unanswered copy may have been applied, or may be later. The same transaction is sent
      // again: at most one of the copies can find the term key at the expected version.
      case UNKNOWN -> retryLater(() -> send(transaction, true));
      default -> listener.lost("the store rejects transactions");
    }
  }

  private void committed(Transaction transaction, long version) {
    termKeyVersion = version;
    listener.committed(transaction);
  }

  /**
   * Reads the term key to find out whether it was an earlier, unanswered copy of the transaction
   * that changed it.
   */
  private void checkEarlierCopy(Transaction transaction) {
    store.getUrgent(
        Keys.TERM,
        reply -> {
          if (closed) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            compareTermKey(transaction, reply.value().value(), reply.value().version());
          } else if (reply.is(Outcome.GONE)) {
            listener.lost("the term key is gone");
          } else {
            retryLater(() -> checkEarlierCopy(transaction));
          }
        });
  }

  private void compareTermKey(Transaction transaction, JsonFields termKey, long version) {
    boolean ours;
    try {
      ours =
          TermKey.readTerm(termKey) == term && TermKey.readSerial(termKey) == transaction.serial();
    } catch (MalformedMessageException e) {
      listener.lost("the term key is unreadable");
      return;
    }
    if (ours) {
      committed(transaction, version);
    } else {
      listener.lost("another leader has taken over");
    }
  }

  private void retryLater(Runnable retry) {
    scheduler.after(
        RETRY_MICROS,
        () -> {
          if (!closed) {
            retry.run();
          }
        });
  }
}
