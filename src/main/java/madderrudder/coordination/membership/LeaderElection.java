package madderrudder.coordination.membership;

import java.util.Optional;
import java.util.random.RandomGenerator;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.persistence.StoreClient;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects the leader. The leader's key in the store is attached to a lease; the compare-and-swap
 * that writes it raises the term in the same transaction, so that a term has one leader at most.
 *
 * <pre>
 *              key absent, or left by an               compare-and-swap
 *              earlier process of this member          succeeded
 *   FOLLOWER ----------------------------&gt; CAMPAIGNING -----------&gt; LEADING
 *      ^  ^                                     |                      |
 *      |  +---- lease or swap refused ----------+                      |
 *      +------- lease expired, higher term observed, stepped down -----+
 * </pre>
 *
 * <p>Confined to the event loop thread. All times are microseconds of the scheduler's steady clock.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  private static final long CAMPAIGN_CHECK_MICROS = 300_000;

  /** Spreads the campaigns of controllers that see the key vanish together. */
  private static final long CAMPAIGN_JITTER_MICROS = 30_000;

  /** A leader that yields leaves the others so much time to be elected. */
  private static final long YIELD_MICROS = 4_000_000;

  /**
   * Half of the terms that tokens have room for; a term a millisecond would take eight years to get
   * there.
   */
  private static final long MAX_PLAUSIBLE_TERM = 1L << 38;

  /** Is told when this controller begins and ceases to lead. */
  public interface Listener {
    /**
     * This controller leads from now on.
     *
     * @param term the new term
     * @param termVersion the version of the term's key in the store, on which the leader's own
     *     compare-and-swaps build
     */
    void elected(long term, long termVersion);

    /** This controller no longer leads. */
    void deposed();
  }

  private enum State {
    /** Another controller leads, or nobody is known to. */
    FOLLOWER,
    /** A lease was asked for, and with it the leader's key is claimed. */
    CAMPAIGNING,
    /** The leader's key names this process, as far as it knows. */
    LEADING
  }

  private final Scheduler scheduler;
  private final StoreClient store;
  private final RandomGenerator random;
  private final String member;
  private final long leaseMicros;
  private final Listener listener;
  private final LeaderKeyWatch watch;

  private State state = State.FOLLOWER;

  /** The term in which this controller leads, or led last. */
  private long term;

  /** The lease of that term; null before this controller has led. */
  private LeaderLease lease;

  private long highestTerm;

  /** The leader of the highest term known, or null. */
  private String leader;

  /** The store has said that the leader's key does not exist. */
  private boolean keyAbsent;

  /** The version of the leader's key if an earlier process of this member wrote it, else 0. */
  private long predecessorVersion;

  private long campaignNotBeforeMicros = Long.MIN_VALUE;

  /**
   * Creates a follower that does nothing before {@link #start}.
   *
   * @param scheduler clock and timers of the event loop
   * @param store where the leader's key, the term and the lease are
   * @param random spreads campaigns in time
   * @param member this controller's name; one process at a time has it
   * @param leaseMicros the length of the leader's lease in microseconds
   * @param listener is told of the beginning and the end of this controller's terms
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
    watch = new LeaderKeyWatch(scheduler, store, this::onLeaderNamed, this::onLeaderAbsent);
  }

  /** Begins to follow the leader's key, and to campaign whenever it is absent. */
  public void start() {
    watch.start();
    scheduler.every(CAMPAIGN_CHECK_MICROS, this::campaignIfPossible);
  }

  /** The member believed to lead; empty if none is known. */
  public Optional<String> leader() {
    return state == State.LEADING ? Optional.of(member) : Optional.ofNullable(leader);
  }

  /** The highest term this controller knows of; 0 before it has heard of any. */
  public long highestTerm() {
    return highestTerm;
  }

  /** Whether this controller leads and its lease has not expired by its own clock. */
  public boolean holdsLease() {
    return state == State.LEADING && scheduler.nowMicros() < lease.endMicros();
  }

  /**
   * The moment up to which the lease certainly lasts, drift of the clocks allowed for; of the last
   * lease if this controller does not lead, and 0 if it never did.
   */
  public long leaseEndMicros() {
    return lease == null ? 0 : lease.endMicros();
  }

  /** A term that a peer knows of. A higher one than its own ends a leader's term. */
  public void observeTerm(long otherTerm) {
    if (otherTerm <= highestTerm) {
      return;
    }
    highestTerm = otherTerm;
    if (state == State.LEADING && otherTerm > term) {
      stepDown("term " + otherTerm + " observed");
    }
  }

  /**
   * A term that a peer knows of, and who leads in it. A process that starts while the store is away
   * mostly learns of the term from a worker first, and of its leader later, so that the same term
   * may still bring a name.
   *
   * @param otherTerm the peer's highest term
   * @param otherLeader the leader's name, or empty if the peer knows none
   */
  public void observeLeader(long otherTerm, String otherLeader) {
    boolean firstName = otherTerm == highestTerm && leader == null && !keyAbsent;
    if (!otherLeader.isEmpty() && (otherTerm > highestTerm || firstName)) {
      leader = otherLeader;
    }
    observeTerm(otherTerm);
  }

  /**
   * A fencing token that a worker has seen.
   *
   * @return false if no leader can have issued it; its term is then ignored, since believing it
   *     would leave no higher term to lead in
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
   * Steps down in favour of another controller: this one does not campaign for a while.
   *
   * @param why the reason, for the log
   */
  public void yieldLeadership(String why) {
    campaignNotBeforeMicros = scheduler.nowMicros() + YIELD_MICROS;
    stepDown(why);
  }

  /**
   * Ends this controller's term and gives its lease back; does nothing if it does not lead.
   *
   * @param why the reason, for the log
   */
  public void stepDown(String why) {
    if (state != State.LEADING) {
      return;
    }
    LOG.info("stepping down from term {}: {}", term, why);
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
   * One process at a time has this member's name, so the one that the key names has ended, and its
   * lease need not be waited for. After an outage of the store, which ends with all leases at their
   * full time, waiting for it once cost workers their own leases.
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
      scheduler.after(random.nextLong(CAMPAIGN_JITTER_MICROS), this::campaignIfPossible);
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
    new LeadershipCampaign(scheduler, store, member, new OwnCandidate()).start(leaseMicros);
  }

  /** This controller as the candidate of its campaigns. */
  private final class OwnCandidate implements LeadershipCampaign.Candidate {
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
      lead(newTerm, grant, termVersion);
    }

    @Override
    public void lost() {
      state = State.FOLLOWER;
    }
  }

  private void lead(long newTerm, LeaderLease.Grant grant, long termVersion) {
    state = State.LEADING;
    keyAbsent = false;
    predecessorVersion = 0;
    term = newTerm;
    highestTerm = newTerm;
    lease =
        new LeaderLease(
            scheduler, store, grant, leaseMicros, () -> stepDown("the lease has expired"));
    LOG.info("leading in term {}", term);
    listener.elected(term, termVersion);
    lease.keepRenewed();
  }
}
