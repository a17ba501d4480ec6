package madderrudder.service;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import madderrudder.service.PeerStatusExchange.PeerStatus;
import madderrudder.transport.Scheduler;

/** Whether users should be sent to this controller. Confined to the event loop thread. */
final class HealthCheck {
  private static final long PEER_SILENT_MICROS = 2_000_000;

  private final Scheduler scheduler;
  private final BooleanSupplier catalogKnown;
  private final BooleanSupplier storeAnswers;
  private final Map<String, PeerStatus> peers;

  /**
   * A check of the conditions given.
   *
   * @param catalogKnown whether the machine types are known, without which no job can be accepted
   * @param storeAnswers whether the store has answered lately
   * @param peers what the other controllers last said; read at each check
   */
  HealthCheck(
      Scheduler scheduler,
      BooleanSupplier catalogKnown,
      BooleanSupplier storeAnswers,
      Map<String, PeerStatus> peers) {
    this.scheduler = scheduler;
    this.catalogKnown = catalogKnown;
    this.storeAnswers = storeAnswers;
    this.peers = peers;
  }

  /**
   * Cut off from the store, users are better served elsewhere, also if no peer can be heard that
   * would say so. If peers are heard and none reaches the store either, going unhealthy would only
   * keep users away for longer once it is back.
   */
  boolean healthy() {
    if (!catalogKnown.getAsBoolean()) {
      return false;
    }
    if (storeAnswers.getAsBoolean()) {
      return true;
    }
    List<PeerStatus> heardLately = heardLately();
    boolean isolated = !peers.isEmpty() && heardLately.isEmpty();
    return !isolated && heardLately.stream().noneMatch(PeerStatus::storeAnswers);
  }

  private List<PeerStatus> heardLately() {
    long nowMicros = scheduler.nowMicros();
    return peers.values().stream()
        .filter(peer -> nowMicros - peer.heardMicros() < PEER_SILENT_MICROS)
        .toList();
  }
}
