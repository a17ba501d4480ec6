package madderrudder.coordination.registry;

import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.StoreCodec.KeyValue;
import madderrudder.protocol.StoreCodec.Page;

/**
 * Watches the live jobs in the store by long polls, one at a time, from the revision at which they
 * were read until the term ends. Confined to the event loop thread.
 */
final class LiveJobWatch {
  private static final long RETRY_MICROS = 200_000;
  private static final long POLL_MICROS = 2_000_000;

  /** Receives what the watch brings. */
  interface Listener {
    /** A job was submitted. */
    void submitted(KeyValue item);

    /**
     * A live job's key was deleted.
     *
     * @param id the job's id
     * @param sinceMicros every deletion accepted before this moment had been reported earlier
     */
    void deleted(String id, long sinceMicros);

    /** All events of a poll that brought any have been passed on. */
    void changed();
  }

  private final LeaderTerm term;
  private final Listener listener;
  private long knownUpToMicros;

  LiveJobWatch(LeaderTerm term, Listener listener) {
    this.term = term;
    this.listener = listener;
  }

  /** Every submission and cancellation that was accepted before this moment is known. */
  long knownUpToMicros() {
    return knownUpToMicros;
  }

  /** The jobs are known as they were at this moment, from a read that began then. */
  void knownUpTo(long readMicros) {
    knownUpToMicros = readMicros;
  }

  /** Starts to watch for changes after the store's revision. */
  void watch(long revision) {
    long sentMicros = term.scheduler.nowMicros();
    term.store.watch(
        Keys.LIVE,
        revision,
        POLL_MICROS,
        reply -> {
          if (term.closed()) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            process(reply.value(), sentMicros);
            watch(reply.value().revision());
          } else if (reply.is(Outcome.GONE)) {
            term.election.stepDown("the watch of jobs has fallen too far behind");
          } else {
            term.after(RETRY_MICROS, () -> watch(revision));
          }
        });
  }

  private void process(Page events, long sentMicros) {
    long beforeMicros = knownUpToMicros;
    knownUpToMicros = sentMicros;
    for (KeyValue item : events.items()) {
      if (item.value() != null) {
        listener.submitted(item);
      } else {
        listener.deleted(item.key().substring(Keys.LIVE.length()), beforeMicros);
      }
    }
    if (!events.items().isEmpty()) {
      listener.changed();
    }
  }
}
