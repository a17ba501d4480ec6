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
 * Sends status messages to the other controllers periodically, and dispatches each message from a
 * peer to the component that handles it. Confined to the event loop thread.
 */
final class PeerStatusExchange {
  private static final Logger LOG = LoggerFactory.getLogger(PeerStatusExchange.class);
  private static final long STATUS_PERIOD_MICROS = 400_000;
  private static final int PERIODS_PER_PROGRESS_UPDATE = 2;
  private static final int MAX_CACHED_JOB_PROGRESS = 5_000;

  private final Dependencies dependencies;
  private final Scheduler scheduler;
  private final LeaderElection election;
  private final LocalLeader localLeader;
  private final HeartbeatDelegate delegate;
  private final WriteRateAllocator writeRateAllocator;
  private final MalformedMessageLog malformedLog = new MalformedMessageLog(LOG, "peer message");
  private final Map<String, PeerStatus> peerStatuses = new HashMap<>();

  /** The latest progress that a leader on another controller has sent, by job id. */
  private final Map<String, JobProgress> progressFromLeader =
      BoundedMap.evictingOldest(MAX_CACHED_JOB_PROGRESS);

  private long lastStatusMicros = -1;

  /** The number of status periods in which this controller was a ready leader. */
  private int periodsAsReadyLeader;

  /**
   * The latest status of a peer.
   *
   * @param storeResponsive whether the store responds to the peer
   * @param receivedMicros when the status was received, on this controller's monotonic clock
   */
  record PeerStatus(boolean storeResponsive, long receivedMicros) {}

  /** The components that the exchange uses; {@code member} is this controller's name. */
  record Dependencies(
      Scheduler scheduler,
      PeerMessenger peerMessenger,
      String member,
      LeaderElection election,
      LocalLeader localLeader,
      HeartbeatDelegate delegate,
      HeartbeatEndpoint heartbeatEndpoint,
      StoreClient store,
      WriteRateAllocator writeRateAllocator,
      Metrics metrics) {}

  PeerStatusExchange(Dependencies dependencies) {
    this.dependencies = dependencies;
    scheduler = dependencies.scheduler();
    election = dependencies.election();
    localLeader = dependencies.localLeader();
    delegate = dependencies.delegate();
    writeRateAllocator = dependencies.writeRateAllocator();
  }

  /** Starts to send status messages periodically. */
  void start() {
    scheduler.runEvery(STATUS_PERIOD_MICROS, this::sendStatus);
  }

  /** The latest status of each peer that has sent one since the start; a live view. */
  Map<String, PeerStatus> peerStatuses() {
    return peerStatuses;
  }

  /** The progress that a leader on another controller has sent for the job; empty if none has. */
  Optional<JobProgress> progressFromLeader(String jobId) {
    return Optional.ofNullable(progressFromLeader.get(jobId));
  }

  private void sendStatus() {
    long nowMicros = scheduler.nowMicros();
    long sinceLastStatusMicros =
        lastStatusMicros < 0 ? STATUS_PERIOD_MICROS : nowMicros - lastStatusMicros;
    lastStatusMicros = nowMicros;
    dependencies.metrics().record(Timing.LOOP_DELAY, sinceLastStatusMicros - STATUS_PERIOD_MICROS);
    double spareWrites = localLeader.spareWritesPerSecond(sinceLastStatusMicros);
    updateWriteRateShare(spareWrites, sinceLastStatusMicros, nowMicros);
    sendNodeStatus(spareWrites);
    sendProgress();
    sendMembershipStatus(nowMicros);
  }

  private void updateWriteRateShare(
      double spareWrites, long sinceLastStatusMicros, long nowMicros) {
    StoreClient store = dependencies.store();
    writeRateAllocator.recordLocalDemand(
        store.takeRequestedUserWrites() * 1e6 / Math.max(1, sinceLastStatusMicros));
    if (localLeader.isLeading()) {
      writeRateAllocator.recordSpare(spareWrites, nowMicros);
    }
    store.setUserWritesPerSecond(writeRateAllocator.localSharePerSecond(nowMicros));
  }

  private void sendNodeStatus(double spareWrites) {
    broadcast(
        new NodeStatus(
            dependencies.member(),
            election.highestTerm(),
            election.leader().orElse(""),
            dependencies.store().isResponsive(),
            (int) (1000 * spareWrites),
            (int) (1000 * writeRateAllocator.localDemandPerSecond())));
  }

  private void sendProgress() {
    if (localLeader.isReady() && ++periodsAsReadyLeader % PERIODS_PER_PROGRESS_UPDATE == 0) {
      broadcast(localLeader.progressUpdate());
    }
  }

  private void sendMembershipStatus(long nowMicros) {
    long grantMicros = localLeader.delegationGrantMicros();
    List<StampEcho> echoes = delegate.peerEchoes();
    if (grantMicros > 0) {
      delegate.extendRenewalSafety(nowMicros + grantMicros);
      echoes = localLeader.grantDelegation(echoes, grantMicros);
    }
    delegate.statusMessages(election.highestTerm(), grantMicros, echoes).forEach(this::broadcast);
  }

  private void broadcast(PeerMessage message) {
    dependencies.peerMessenger().broadcast(PeerMessageCodec.encode(message));
  }

  /** Handles a message from another controller; a malformed one is logged and ignored. */
  void receive(ByteBuffer bytes) {
    PeerMessage message;
    try {
      message = PeerMessageCodec.decode(bytes);
    } catch (MalformedMessageException e) {
      malformedLog.log(e);
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
      localLeader.recordDelegatedRenewals(renewals);
    } else if (message instanceof ForwardedHeartbeat forwarded) {
      dependencies.heartbeatEndpoint().receive(forwarded);
    } else if (message instanceof ForwardedResponse response) {
      dependencies.heartbeatEndpoint().receive(response);
    }
  }

  private void receiveNodeStatus(NodeStatus status) {
    long nowMicros = scheduler.nowMicros();
    peerStatuses.put(status.member(), new PeerStatus(status.storeReachable(), nowMicros));
    election.observeLeader(status.term(), status.leader());
    writeRateAllocator.recordPeerDemand(
        status.member(), status.wantedMilliWrites() / 1000.0, nowMicros);
    boolean fromLeader = status.member().equals(election.leader().orElse(null));
    if (!localLeader.isLeading() && fromLeader) {
      writeRateAllocator.recordSpare(status.spareMilliWrites() / 1000.0, nowMicros);
    }
  }

  private void receiveProgress(ProgressUpdate update) {
    if (update.term() >= election.highestTerm()) {
      update.jobs().forEach(job -> progressFromLeader.put(job.job(), job));
    }
  }

  private void receiveMembershipStatus(MembershipStatus status) {
    election.observeTerm(status.term());
    delegate.recordPeerStatus(status, election.highestTerm());
    localLeader.recordPeerStatus(status, delegate.echoOfThisProcess(status));
  }
}
