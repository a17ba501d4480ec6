package madderrudder.service;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import madderrudder.service.PeerStatusExchange.PeerStatus;
import madderrudder.transport.Scheduler;

/** Decides whether users should be sent to this controller. Confined to the event loop thread. */
final class HealthCheck {
  private static final long MAX_PEER_STATUS_AGE_MICROS = 2_000_000;

  private final Scheduler scheduler;
  private final BooleanSupplier catalogKnown;
  private final BooleanSupplier storeResponsive;
  private final Map<String, PeerStatus> peerStatuses;

  /**
   * Creates a check, which reads its inputs anew at each call of {@link #isHealthy}.
   *
   * @param catalogKnown whether the machine types are known; without them no job can be accepted
   * @param storeResponsive whether the store has responded to this controller recently
   * @param peerStatuses the latest status of each peer that has sent one since the start
   */
  HealthCheck(
      Scheduler scheduler,
      BooleanSupplier catalogKnown,
      BooleanSupplier storeResponsive,
      Map<String, PeerStatus> peerStatuses) {
    this.scheduler = scheduler;
    this.catalogKnown = catalogKnown;
    this.storeResponsive = storeResponsive;
    this.peerStatuses = peerStatuses;
  }

  /**
   * Whether users should be sent here. A controller that the store does not respond to is unhealthy
   * if a peer reports that the store responds to it, so that users are sent to that peer. It is
   * also unhealthy if all peers whose status it has received before have stopped sending it, since
   * it is then probably isolated. If the store responds to none of the peers either, it stays
   * healthy: otherwise users would be kept away for longer after the store has recovered.
   */
  boolean isHealthy() {
    if (!catalogKnown.getAsBoolean()) {
      return false;
    }
    if (storeResponsive.getAsBoolean()) {
      return true;
    }
    List<PeerStatus> freshPeerStatuses = freshPeerStatuses();
    boolean isolated = !peerStatuses.isEmpty() && freshPeerStatuses.isEmpty();
    return !isolated && freshPeerStatuses.stream().noneMatch(PeerStatus::storeResponsive);
  }

  private List<PeerStatus> freshPeerStatuses() {
    long nowMicros = scheduler.nowMicros();
    return peerStatuses.values().stream()
        .filter(peer -> nowMicros - peer.receivedMicros() < MAX_PEER_STATUS_AGE_MICROS)
        .toList();
  }
}
