package madderrudder.coordination.membership;

import java.util.Optional;
import java.util.random.RandomGenerator;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.persistence.StoreClient;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects the leader. The leader key in the store is attached to a lease. The compare-and-swap that
 * writes the key raises the term in the same transaction, so that a term has at most one leader.
 *
 * <pre>
 *              key absent, or left by an               compare-and-swap
 *              earlier process of this member          succeeded
 *   FOLLOWER ----------------------------&gt; CAMPAIGNING -----------&gt; LEADING
 *      ^  ^                                     |                      |
 *      |  +---- lease or claim refused ---------+                      |
 *      +------- lease expired, higher term observed, stepped down -----+
 * </pre>
 *
 * <p>Confined to the event loop thread. All times are microseconds of the scheduler's monotonic
 * clock.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  private static final long CAMPAIGN_CHECK_INTERVAL_MICROS = 300_000;

  /**
   * Upper bound of the random delay that spreads the campaigns of controllers that observe the
   * deletion of the leader key at the same time.
   */
  private static final long MAX_CAMPAIGN_JITTER_MICROS = 30_000;

  /**
   * How long this controller does not campaign after {@link #stepDownAndPauseCampaigns}, so that
   * another controller can be elected.
   */
  private static final long CAMPAIGN_PAUSE_MICROS = 4_000_000;

  /**
   * Half of the range that fencing tokens reserve for the term. At one term per millisecond it
   * lasts for eight years.
   */
  private static final long MAX_PLAUSIBLE_TERM = 1L << 38;

  /** Receives the beginning and the end of this controller's terms as leader. */
  public interface Listener {
    /**
     * Called when this controller has become the leader.
     *
     * @param term the new term
     * @param termVersion the version of the term key in the store, which the leader's first
     *     compare-and-swap expects
     */
    void elected(long term, long termVersion);

    /** Called when this controller has ceased to lead. */
    void deposed();
  }

  private enum State {
    /** Another controller leads, or no leader is known. */
    FOLLOWER,
    /** A campaign for the leader key is in progress. */
    CAMPAIGNING,
    /**
     * This process has claimed the leader key and has observed neither its loss nor a higher term.
     */
    LEADING
  }

  private final Scheduler scheduler;
  private final StoreClient store;
  private final RandomGenerator random;
  private final String member;
  private final long leaseMicros;
  private final Listener listener;
  private final LeaderKeyWatch leaderKeyWatch;

  private State state = State.FOLLOWER;

  /** The term in which this controller leads or last led. */
  private long term;

  /** The lease of that term; null before this controller has led. */
  private LeaderLease lease;

  private long highestTerm;

  /** The leader of the highest term known, or null. */
  private String leader;

  /** Whether the store last reported that the leader key does not exist. */
  private boolean keyAbsent;

  /** The version of the leader key if an earlier process of this member wrote it, else 0. */
  private long predecessorVersion;

  private long campaignNotBeforeMicros = Long.MIN_VALUE;

  /**
   * Creates a follower that is inactive until {@link #start}.
   *
   * @param scheduler clock and timers of the event loop
   * @param store client of the store, which holds the leader key, the term key and the lease
   * @param random source of the delay before a campaign
   * @param member this controller's name; at most one running process has it
   * @param leaseMicros the length of the leader's lease in microseconds
   * @param listener receives the beginning and the end of this controller's terms
   */
  public LeaderElection(
      Scheduler scheduler,
      StoreClient store,
      RandomGenerator random,
      String member,
      long leaseMicros,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.random = random;
    this.member = member;
    this.leaseMicros = leaseMicros;
    this.listener = listener;
    leaderKeyWatch =
        new LeaderKeyWatch(scheduler, store, this::onLeaderNamed, this::onLeaderAbsent);
  }

  /** Starts to watch the leader key, and to campaign whenever it is absent. */
  public void start() {
    leaderKeyWatch.start();
    scheduler.runEvery(CAMPAIGN_CHECK_INTERVAL_MICROS, this::campaignIfPossible);
  }

  /** Returns the name of the known leader; empty if none is known. */
  public Optional<String> leader() {
    return state == State.LEADING ? Optional.of(member) : Optional.ofNullable(leader);
  }

  /** Returns the highest term that this controller has observed; 0 before the first. */
  public long highestTerm() {
    return highestTerm;
  }

  /** Returns whether this controller leads and its lease has not expired by its own clock. */
  public boolean holdsLease() {
    return state == State.LEADING && scheduler.nowMicros() < lease.endMicros();
  }

  /**
   * Returns the time until which the leader's lease is certain to last, with clock drift
   * subtracted. This is the end of the last lease if this controller no longer leads, and 0 if it
   * never led.
   */
  public long leaseEndMicros() {
    return lease == null ? 0 : lease.endMicros();
  }

  /**
   * Records a term that a peer or a worker has observed. A leader steps down if it is higher than
   * its own.
   */
  public void observeTerm(long observedTerm) {
    if (observedTerm <= highestTerm) {
      return;
    }
    highestTerm = observedTerm;
    if (state == State.LEADING && observedTerm > term) {
      stepDown("observed higher term " + observedTerm);
    }
  }

  /**
   * Records a peer's highest term and its leader. A process that starts while the store is
   * unavailable usually observes the term in a worker's token first, and the leader of that term
   * later, so the leader is also accepted for a term that is already known.
   *
   * @param peerTerm the peer's highest term
   * @param peerLeader the leader's name; empty if none is known to the peer
   */
  public void observeLeader(long peerTerm, String peerLeader) {
    boolean firstLeaderOfTerm = peerTerm == highestTerm && leader == null && !keyAbsent;
    if (!peerLeader.isEmpty() && (peerTerm > highestTerm || firstLeaderOfTerm)) {
      leader = peerLeader;
    }
    observeTerm(peerTerm);
  }

  /**
   * Records the term of a fencing token that a worker has reported.
   *
   * @return false if the term is too high for any leader to have issued the token; the term is then
   *     ignored, since accepting it could leave no higher term for an election
   */
  public boolean observeToken(long token) {
    long tokenTerm = FencingToken.term(token);
    if (tokenTerm > Math.max(MAX_PLAUSIBLE_TERM, highestTerm)) {
      return false;
    }
    observeTerm(tokenTerm);
    return true;
  }

  /**
   * Steps down, and does not campaign for a while so that another controller can be elected.
   *
   * @param reason the cause, for the log
   */
  public void stepDownAndPauseCampaigns(String reason) {
    campaignNotBeforeMicros = scheduler.nowMicros() + CAMPAIGN_PAUSE_MICROS;
    stepDown(reason);
  }

  /**
   * Ends this controller's term and revokes its lease; does nothing if it does not lead.
   *
   * @param reason the cause, for the log
   */
  public void stepDown(String reason) {
    if (state != State.LEADING) {
      return;
    }
    LOG.info("stepping down from term {}: {}", term, reason);
    state = State.FOLLOWER;
    lease.release();
    listener.deposed();
  }

  private void onLeaderNamed(LeaderRecord named, long version) {
    keyAbsent = false;
    predecessorVersion = 0;
    if (state == State.FOLLOWER && named.member().equals(member)) {
      replacePredecessor(version);
    }
    if (named.term() >= highestTerm) {
      leader = named.member();
    }
    observeLeader(named.term(), named.member());
  }

  /**
   * Schedules a campaign that replaces the leader key of an earlier process of this member. At most
   * one running process has this member's name, so the earlier one has ended and its lease need not
   * run out first. After an outage the store restores all leases to their full length; waiting for
   * the earlier lease would then let workers' leases expire.
   */
  private void replacePredecessor(long version) {
    predecessorVersion = version;
    scheduler.execute(this::campaignIfPossible);
  }

  private void onLeaderAbsent() {
    keyAbsent = true;
    predecessorVersion = 0;
    if (state != State.LEADING) {
      leader = null;
      scheduler.runAfter(random.nextLong(MAX_CAMPAIGN_JITTER_MICROS), this::campaignIfPossible);
    }
  }

  private boolean mayCampaign() {
    return state == State.FOLLOWER
        && (keyAbsent || predecessorVersion != 0)
        && scheduler.nowMicros() >= campaignNotBeforeMicros;
  }

  private void campaignIfPossible() {
    if (!mayCampaign()) {
      return;
    }
    state = State.CAMPAIGNING;
    new LeadershipCampaign(scheduler, store, member, new ElectionCandidate()).start(leaseMicros);
  }

  /** Connects a campaign to the state of this election. */
  private final class ElectionCandidate implements LeadershipCampaign.Candidate {
    @Override
    public long highestTerm() {
      return highestTerm;
    }

    @Override
    public long replaceableVersion() {
      return predecessorVersion;
    }

    @Override
    public void won(long newTerm, LeaderLease.Grant grant, long termVersion) {
      startLeading(newTerm, grant, termVersion);
    }

    @Override
    public void lost() {
      state = State.FOLLOWER;
    }
  }

  private void startLeading(long newTerm, LeaderLease.Grant grant, long termVersion) {
    state = State.LEADING;
    keyAbsent = false;
    predecessorVersion = 0;
    term = newTerm;
    highestTerm = newTerm;
    lease = new LeaderLease(scheduler, store, grant, leaseMicros, () -> stepDown("lease expired"));
    LOG.info("elected leader in term {}", term);
    listener.elected(term, termVersion);
    lease.scheduleNextRenewal();
  }
}
