package madderrudder.coordination.membership;

import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.KeyValue;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the leader key in the store until the process ends. Confined to the event loop thread.
 */
final class LeaderKeyWatch {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderKeyWatch.class);
  private static final long RETRY_INTERVAL_MICROS = 200_000;

  /** How long the store may hold a watch request open before it answers without a change. */
  private static final long MAX_WATCH_MICROS = 2_000_000;

  private final Scheduler scheduler;
  private final StoreClient store;
  private final LeaderObserver observer;
  private final Runnable onLeaderAbsent;

  /** Receives each value of the leader key. */
  interface LeaderObserver {
    /**
     * Called when the key names a leader; {@code version} is the version of the key in the store.
     */
    void leaderNamed(LeaderRecord leader, long version);
  }

  /**
   * Creates a watch that is inactive until {@link #start}.
   *
   * @param observer receives each readable value of the key
   * @param onLeaderAbsent runs when the key does not exist because its lease expired or was revoked
   */
  LeaderKeyWatch(
      Scheduler scheduler, StoreClient store, LeaderObserver observer, Runnable onLeaderAbsent) {
    this.scheduler = scheduler;
    this.store = store;
    this.observer = observer;
    this.onLeaderAbsent = onLeaderAbsent;
  }

  /** Reads the key, and then watches it for changes. */
  void start() {
    store.range(
        Keys.LEADER_PREFIX,
        "",
        reply -> {
          if (!reply.is(Outcome.OK)) {
            scheduler.runAfter(RETRY_INTERVAL_MICROS, this::start);
            return;
          }
          boolean found = false;
          for (KeyValue item : reply.value().items()) {
            found |= reportIfLeader(item);
          }
          if (!found) {
            onLeaderAbsent.run();
          }
          watch(reply.value().revision());
        });
  }

  private void watch(long revision) {
    store.watch(
        Keys.LEADER_PREFIX,
        revision,
        MAX_WATCH_MICROS,
        reply -> {
          if (reply.is(Outcome.OK)) {
            reply.value().items().forEach(this::reportChange);
            watch(reply.value().revision());
          } else if (reply.is(Outcome.GONE)) {
            start();
          } else {
            scheduler.runAfter(RETRY_INTERVAL_MICROS, () -> watch(revision));
          }
        });
  }

  private void reportChange(KeyValue item) {
    if (!reportIfLeader(item)) {
      onLeaderAbsent.run();
    }
  }

  /**
   * Reports the leader that the item names. Returns whether the item is an existing leader key; an
   * unreadable value counts as existing, but is not reported.
   */
  private boolean reportIfLeader(KeyValue item) {
    if (item.value() == null || !item.key().equals(Keys.LEADER)) {
      return false;
    }
    LeaderRecord leader;
    try {
      leader = LeaderRecord.read(item);
    } catch (MalformedMessageException e) {
      LOG.info("leader key is unreadable, ignoring its value: {}", e.getMessage());
      return true;
    }
    observer.leaderNamed(leader, item.version());
    return true;
  }
}
