package madderrudder.coordination.registry;

import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.StoreCodec.KeyValue;
import madderrudder.protocol.StoreCodec.Page;

/**
 * Watches the live jobs in the store until the term ends, by consecutive long polls that start at
 * the revision at which the jobs were read. Confined to the event loop thread.
 */
final class LiveJobWatch {
  private static final long RETRY_DELAY_MICROS = 200_000;
  private static final long POLL_WAIT_MICROS = 2_000_000;

  /** Receives the events of the watch. */
  interface Listener {
    /** Called for the record of each submitted job. */
    void onJobSubmitted(KeyValue item);

    /**
     * Called when the key of a live job was deleted.
     *
     * @param id the job's id
     * @param earliestMicros a lower bound of the time at which the deletion was accepted: every
     *     deletion accepted before it was reported by an earlier poll
     */
    void onJobDeleted(String id, long earliestMicros);

    /** Called after the last event of each poll that returned any events. */
    void onPollProcessed();
  }

  private final LeaderTerm term;
  private final Listener listener;
  private long knownUpToMicros;

  LiveJobWatch(LeaderTerm term, Listener listener) {
    this.term = term;
    this.listener = listener;
  }

  /** Returns the time up to which every accepted submission and cancellation is known. */
  long knownUpToMicros() {
    return knownUpToMicros;
  }

  /** Sets the time up to which the jobs are known: when the read of the live jobs began. */
  void setKnownUpToMicros(long readStartMicros) {
    knownUpToMicros = readStartMicros;
  }

  /** Starts to watch for changes after the revision of the store. */
  void watchFrom(long revision) {
    long sentMicros = term.scheduler.nowMicros();
    term.store.watch(
        Keys.LIVE,
        revision,
        POLL_WAIT_MICROS,
        reply -> {
          if (term.isClosed()) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            processEvents(reply.value(), sentMicros);
            watchFrom(reply.value().revision());
          } else if (reply.is(Outcome.GONE)) {
            term.election.stepDown(
                "the store no longer keeps the changes to live jobs since the last watched revision");
          } else {
            term.runAfter(RETRY_DELAY_MICROS, () -> watchFrom(revision));
          }
        });
  }

  private void processEvents(Page events, long sentMicros) {
    long previouslyKnownUpToMicros = knownUpToMicros;
    knownUpToMicros = sentMicros;
    for (KeyValue item : events.items()) {
      if (item.value() != null) {
        listener.onJobSubmitted(item);
      } else {
        listener.onJobDeleted(item.key().substring(Keys.LIVE.length()), previouslyKnownUpToMicros);
      }
    }
    if (!events.items().isEmpty()) {
      listener.onPollProcessed();
    }
  }
}
