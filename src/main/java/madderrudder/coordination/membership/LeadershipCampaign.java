package madderrudder.coordination.membership;

import java.util.List;
import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.persistence.TermKey;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.KeyValue;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt to become the leader: asks the store for a lease, reads the current term, and claims
 * the leader's key with a compare-and-swap. Confined to the event loop thread.
 */
final class LeadershipCampaign {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipCampaign.class);

  private final Scheduler scheduler;
  private final StoreClient store;
  private final String member;
  private final Candidate candidate;
  private LeaderLease.Grant lease;

  /** Whose campaign it is. What it knows may change while the campaign is under way. */
  interface Candidate {
    /** The highest term known; the claim is for a higher one. */
    long highestTerm();

    /** The version of the leader's key that the claim may replace; 0 if it must be absent. */
    long replaceableVersion();

    /**
     * The claim was written.
     *
     * @param term the term won
     * @param lease the lease that the leader's key is attached to
     * @param termVersion the version of the term's key
     */
    void won(long term, LeaderLease.Grant lease, long termVersion);

    /** Somebody else won, or the store did not answer. */
    void lost();
  }

  LeadershipCampaign(Scheduler scheduler, StoreClient store, String member, Candidate candidate) {
    this.scheduler = scheduler;
    this.store = store;
    this.member = member;
    this.candidate = candidate;
  }

  /** Asks for a lease of this length, and claims the leader's key with it. */
  void start(long leaseMicros) {
    long requestedMicros = scheduler.nowMicros();
    store.grantLease(
        leaseMicros,
        reply -> {
          if (reply.is(Outcome.OK)) {
            lease = new LeaderLease.Grant(reply.value(), requestedMicros);
            readTerm();
          } else {
            candidate.lost();
          }
        });
  }

  private void readTerm() {
    store.getUrgent(
        Keys.TERM,
        reply -> {
          switch (reply.outcome()) {
            case OK -> claimAfter(reply.value());
            case GONE -> claim(0, 0);
            default -> giveUp();
          }
        });
  }

  private void claimAfter(KeyValue termKey) {
    long oldTerm;
    try {
      oldTerm = TermKey.readTerm(termKey.value());
    } catch (MalformedMessageException e) {
      LOG.error("the term key is unreadable: {}", e.getMessage());
      giveUp();
      return;
    }
    claim(oldTerm, termKey.version());
  }

  /**
   * Compare-and-swap: writes the leader's key and the raised term, on the condition that the
   * leader's key has the replaceable version and the term has not moved.
   */
  private void claim(long oldTerm, long termVersion) {
    long newTerm = Math.max(oldTerm, candidate.highestTerm()) + 1;
    List<Condition> conditions =
        List.of(
            new Condition(Keys.LEAD, candidate.replaceableVersion()),
            new Condition(Keys.TERM, termVersion));
    List<Write> writes =
        List.of(
            new Write(Keys.LEAD, new LeaderRecord(newTerm, member).encode(), lease.id()),
            Write.put(Keys.TERM, TermKey.encode(newTerm, member, 0)));
    store.commitUrgent(
        StoreCodec.commit(conditions, writes),
        reply -> {
          // The watch may bring this very claim before its answer comes: only a higher term counts.
          if (reply.is(Outcome.OK) && candidate.highestTerm() <= newTerm) {
            candidate.won(newTerm, lease, reply.value());
          } else {
            giveUp();
          }
        });
  }

  /**
   * A claim that was not answered may still be executed later; since its lease is given back, it
   * ends at once.
   */
  private void giveUp() {
    candidate.lost();
    store.revokeLease(lease.id());
  }
}
