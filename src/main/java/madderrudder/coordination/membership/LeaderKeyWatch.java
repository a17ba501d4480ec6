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
 * Watches the leader's key in the store for as long as the process lives. Confined to the event
 * loop thread.
 */
final class LeaderKeyWatch {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderKeyWatch.class);
  private static final long RETRY_MICROS = 200_000;

  /** How long the store may hold a watch request open. */
  private static final long WATCH_MICROS = 2_000_000;

  private final Scheduler scheduler;
  private final StoreClient store;
  private final LeaderNamed onLeaderNamed;
  private final Runnable onLeaderAbsent;

  /** Is told who leads. */
  interface LeaderNamed {
    /** The key names a leader; {@code version} is the key's version in the store. */
    void accept(LeaderRecord leader, long version);
  }

  /**
   * Creates a watch that does nothing before {@link #start}.
   *
   * @param onLeaderNamed is told of each value of the key
   * @param onLeaderAbsent is run when the key does not exist: its lease expired or was revoked
   */
  LeaderKeyWatch(
      Scheduler scheduler, StoreClient store, LeaderNamed onLeaderNamed, Runnable onLeaderAbsent) {
    this.scheduler = scheduler;
    this.store = store;
    this.onLeaderNamed = onLeaderNamed;
    this.onLeaderAbsent = onLeaderAbsent;
  }

  /** Reads the key, and then follows its changes. */
  void start() {
    store.range(
        Keys.LEAD_PREFIX,
        "",
        reply -> {
          if (!reply.is(Outcome.OK)) {
            scheduler.after(RETRY_MICROS, this::start);
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
        Keys.LEAD_PREFIX,
        revision,
        WATCH_MICROS,
        reply -> {
          if (reply.is(Outcome.OK)) {
            reply.value().items().forEach(this::reportChange);
            watch(reply.value().revision());
          } else if (reply.is(Outcome.GONE)) {
            start();
          } else {
            scheduler.after(RETRY_MICROS, () -> watch(revision));
          }
        });
  }

  private void reportChange(KeyValue item) {
    if (!reportIfLeader(item)) {
      onLeaderAbsent.run();
    }
  }

  /** Whether the item is the leader's key and exists; an unreadable one does exist. */
  private boolean reportIfLeader(KeyValue item) {
    if (item.value() == null || !item.key().equals(Keys.LEAD)) {
      return false;
    }
    LeaderRecord leader;
    try {
      leader = LeaderRecord.read(item);
    } catch (MalformedMessageException e) {
      LOG.info("the leader's key is unreadable: {}", e.getMessage());
      return true;
    }
    onLeaderNamed.accept(leader, item.version());
    return true;
  }
}
