package madderrudder.service;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import madderrudder.coordination.membership.HeartbeatDelegate;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.metrics.Metrics;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.persistence.StoreClient;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.PeerMessage;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.NodeStatus;
import madderrudder.protocol.PeerMessage.ProgressUpdate;
import madderrudder.protocol.PeerMessage.StampEcho;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.PeerMessenger;
import madderrudder.transport.Scheduler;
import madderrudder.util.BoundedMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The status messages that controllers send one another periodically, and the dispatch of all peer
 * messages to the parts they are for. Confined to the event loop thread.
 */
final class PeerStatusExchange {
  private static final Logger LOG = LoggerFactory.getLogger(PeerStatusExchange.class);
  private static final long PERIOD_MICROS = 400_000;
  private static final int PERIODS_PER_PROGRESS_UPDATE = 2;
  private static final int MAX_REMEMBERED_PROGRESS = 5_000;

  private final Parts parts;
  private final Scheduler scheduler;
  private final LeaderElection election;
  private final LocalLeader leader;
  private final HeartbeatDelegate delegate;
  private final WriteRateAllocator writeRate;
  private final MalformedMessageLog malformed = new MalformedMessageLog(LOG, "peer message");
  private final Map<String, PeerStatus> peerStatuses = new HashMap<>();

  /** Progress that a leader elsewhere has sent, by job. */
  private final Map<String, JobProgress> reportedProgress =
      BoundedMap.evictingOldest(MAX_REMEMBERED_PROGRESS);

  private long lastPeriodMicros = -1;
  private int readyPeriods;

  /**
   * What a peer last said, and when.
   *
   * @param storeAnswers whether the store answers the peer
   * @param heardMicros when it said so, on this controller's steady clock
   */
  record PeerStatus(boolean storeAnswers, long heardMicros) {}

  /** The parts of a controller that take part in the exchange. */
  record Parts(
      Scheduler scheduler,
      PeerMessenger peers,
      String member,
      LeaderElection election,
      LocalLeader leader,
      HeartbeatDelegate delegate,
      HeartbeatEndpoint heartbeats,
      StoreClient store,
      WriteRateAllocator writeRate,
      Metrics metrics) {}

  PeerStatusExchange(Parts parts) {
    this.parts = parts;
    scheduler = parts.scheduler();
    election = parts.election();
    leader = parts.leader();
    delegate = parts.delegate();
    writeRate = parts.writeRate();
  }

  /** Begins to send status messages. */
  void start() {
    scheduler.every(PERIOD_MICROS, this::sendStatus);
  }

  /** What each peer last said, for peers that were heard since the start. */
  Map<String, PeerStatus> peerStatuses() {
    return peerStatuses;
  }

  /** A job's progress as a leader elsewhere has sent it; empty if none has. */
  Optional<JobProgress> reportedProgress(String job) {
    return Optional.ofNullable(reportedProgress.get(job));
  }

  private void sendStatus() {
    long nowMicros = scheduler.nowMicros();
    long sinceMicros = lastPeriodMicros < 0 ? PERIOD_MICROS : nowMicros - lastPeriodMicros;
    lastPeriodMicros = nowMicros;
    parts.metrics().record(Timing.LOOP_DELAY, sinceMicros - PERIOD_MICROS);
    double spareWrites = leader.spareWritesPerSecond(sinceMicros);
    shareWriteRate(spareWrites, sinceMicros, nowMicros);
    sendNodeStatus(spareWrites);
    sendProgress();
    sendMembershipStatus(nowMicros);
  }

  private void shareWriteRate(double spareWrites, long sinceMicros, long nowMicros) {
    StoreClient store = parts.store();
    writeRate.recordDemand(store.takeRequestedUserWrites() * 1e6 / Math.max(1, sinceMicros));
    if (leader.isPresent()) {
      writeRate.recordSpare(spareWrites, nowMicros);
    }
    store.setUserWritesPerSecond(writeRate.sharePerSecond(nowMicros));
  }

  private void sendNodeStatus(double spareWrites) {
    broadcast(
        new NodeStatus(
            parts.member(),
            election.highestTerm(),
            election.leader().orElse(""),
            parts.store().isResponsive(),
            (int) (1000 * spareWrites),
            (int) (1000 * writeRate.demandPerSecond())));
  }

  private void sendProgress() {
    if (leader.isReady() && ++readyPeriods % PERIODS_PER_PROGRESS_UPDATE == 0) {
      broadcast(leader.progressUpdate());
    }
  }

  private void sendMembershipStatus(long nowMicros) {
    long grantMicros = leader.grantMicros();
    List<StampEcho> echoes = delegate.echoes();
    if (grantMicros > 0) {
      delegate.renewalSafeUntil(nowMicros + grantMicros);
      echoes = leader.grantTo(echoes, grantMicros);
    }
    delegate.statusMessages(election.highestTerm(), grantMicros, echoes).forEach(this::broadcast);
  }

  private void broadcast(PeerMessage message) {
    parts.peers().broadcast(PeerMessageCodec.encode(message));
  }

  /** Takes a message from another controller. */
  void receive(ByteBuffer bytes) {
    PeerMessage message;
    try {
      message = PeerMessageCodec.decode(bytes);
    } catch (MalformedMessageException e) {
      malformed.log(e);
      return;
    }
    dispatch(message);
  }

  private void dispatch(PeerMessage message) {
    if (message instanceof NodeStatus status) {
      receiveNodeStatus(status);
    } else if (message instanceof ProgressUpdate update) {
      receiveProgress(update);
    } else if (message instanceof MembershipStatus status) {
      receiveMembershipStatus(status);
    } else if (message instanceof DelegatedRenewals renewals) {
      leader.recordRenewals(renewals);
    } else if (message instanceof ForwardedHeartbeat forwarded) {
      parts.heartbeats().receive(forwarded);
    } else if (message instanceof ForwardedResponse response) {
      parts.heartbeats().receive(response);
    }
  }

  private void receiveNodeStatus(NodeStatus status) {
    long nowMicros = scheduler.nowMicros();
    peerStatuses.put(status.member(), new PeerStatus(status.storeAnswers(), nowMicros));
    election.observeLeader(status.term(), status.leader());
    writeRate.recordPeerDemand(status.member(), status.wantedMilliWrites() / 1000.0, nowMicros);
    boolean fromLeader = status.member().equals(election.leader().orElse(null));
    if (!leader.isPresent() && fromLeader) {
      writeRate.recordSpare(status.spareMilliWrites() / 1000.0, nowMicros);
    }
  }

  private void receiveProgress(ProgressUpdate update) {
    if (update.term() >= election.highestTerm()) {
      update.jobs().forEach(job -> reportedProgress.put(job.job(), job));
    }
  }

  private void receiveMembershipStatus(MembershipStatus status) {
    election.observeTerm(status.term());
    delegate.recordStatus(status, election.highestTerm());
    leader.recordStatus(status, delegate.echoOfThisProcess(status));
  }
}
