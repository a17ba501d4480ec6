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
 * One attempt to become the leader: requests a lease from the store, reads the current term, and
 * claims the leader key with a compare-and-swap. Confined to the event loop thread.
 */
final class LeadershipCampaign {
  private static final Logger LOG = LoggerFactory.getLogger(LeadershipCampaign.class);

  private final Scheduler scheduler;
  private final StoreClient store;
  private final String member;
  private final Candidate candidate;
  private LeaderLease.Grant lease;

  /**
   * The candidate that a campaign runs for. Its term and version may change during the campaign.
   */
  interface Candidate {
    /** Returns the highest known term; the claim is for a higher one. */
    long highestTerm();

    /**
     * Returns the version of the leader key that the claim may replace; 0 if the key must be
     * absent.
     */
    long replaceableVersion();

    /**
     * Called when the claim has been committed.
     *
     * @param term the term won
     * @param lease the lease that the leader key is attached to
     * @param termVersion the version of the term key
     */
    void won(long term, LeaderLease.Grant lease, long termVersion);

    /**
     * Called when the campaign has failed: the store refused the lease or the claim, did not
     * answer, or holds an unreadable term, or a higher term was observed.
     */
    void lost();
  }

  LeadershipCampaign(Scheduler scheduler, StoreClient store, String member, Candidate candidate) {
    this.scheduler = scheduler;
    this.store = store;
    this.member = member;
    this.candidate = candidate;
  }

  /** Requests a lease of this length, and claims the leader key with it. */
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
    store.getUnthrottled(
        Keys.TERM,
        reply -> {
          switch (reply.outcome()) {
            case OK -> claimAboveStoredTerm(reply.value());
            case GONE -> claim(0, 0);
            default -> abandon();
          }
        });
  }

  private void claimAboveStoredTerm(KeyValue termKey) {
    long storedTerm;
    try {
      storedTerm = TermKey.readTerm(termKey.value());
    } catch (MalformedMessageException e) {
      LOG.error("term key is unreadable, abandoning the campaign: {}", e.getMessage());
      abandon();
      return;
    }
    claim(storedTerm, termKey.version());
  }

  /**
   * Compare-and-swap: writes the leader key and the raised term, on the condition that the leader
   * key has the replaceable version and the term key has not changed since it was read.
   */
  private void claim(long storedTerm, long termVersion) {
    long newTerm = Math.max(storedTerm, candidate.highestTerm()) + 1;
    List<Condition> conditions =
        List.of(
            new Condition(Keys.LEADER, candidate.replaceableVersion()),
            new Condition(Keys.TERM, termVersion));
    List<Write> writes =
        List.of(
            new Write(Keys.LEADER, new LeaderRecord(newTerm, member).encode(), lease.id()),
            Write.put(Keys.TERM, TermKey.encode(newTerm, member, 0)));
    store.commitUnthrottled(
        StoreCodec.commitRequest(conditions, writes),
        reply -> {
          // The watch may deliver this claim before the reply arrives, so only a term above the
          // claimed one is a loss.
          if (reply.is(Outcome.OK) && candidate.highestTerm() <= newTerm) {
            candidate.won(newTerm, lease, reply.value());
          } else {
            abandon();
          }
        });
  }

  /**
   * Ends the campaign without success. The store may still execute a claim that it has not
   * answered; revoking the lease makes such a claim expire at once.
   */
  private void abandon() {
    candidate.lost();
    store.revokeLease(lease.id());
  }
}
