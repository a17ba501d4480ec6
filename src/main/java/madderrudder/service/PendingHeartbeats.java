package madderrudder.service;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.transport.Scheduler;

/**
 * Holds heartbeats until it is known which controller answers them. While there is no leader, or
 * the leader here has not read the stored state, a redirected worker would retry after 1 s at the
 * earliest, while its lease is running out. Confined to the event loop thread.
 */
final class PendingHeartbeats {
  /**
   * How long a heartbeat may stay pending. It is less than the 4 s that a worker waits for a
   * response, so that there is time to forward the heartbeat afterwards.
   */
  private static final long MAX_PENDING_MICROS = 2_500_000;

  private final Scheduler scheduler;
  private final int maxCount;
  private final Consumer<ReceivedHeartbeat> dispatcher;
  private final Set<ReceivedHeartbeat> pending = new LinkedHashSet<>();

  /**
   * Creates a holder of no heartbeats.
   *
   * @param maxCount limits the heartbeats that are pending at once
   * @param dispatcher takes each heartbeat once it is no longer pending
   */
  PendingHeartbeats(Scheduler scheduler, int maxCount, Consumer<ReceivedHeartbeat> dispatcher) {
    this.scheduler = scheduler;
    this.maxCount = maxCount;
    this.dispatcher = dispatcher;
  }

  /**
   * Holds a heartbeat until {@link #dispatchAll}, or for {@link #MAX_PENDING_MICROS} at most.
   *
   * @return false if too many are pending; this one is then not held
   */
  boolean tryHold(ReceivedHeartbeat received) {
    if (pending.size() >= maxCount) {
      return false;
    }
    pending.add(received);
    scheduler.runAfter(
        MAX_PENDING_MICROS,
        () -> {
          if (pending.remove(received)) {
            dispatcher.accept(received);
          }
        });
    return true;
  }

  /** Dispatches all pending heartbeats in the order of their arrival. */
  void dispatchAll() {
    if (!pending.isEmpty()) {
      List<ReceivedHeartbeat> held = List.copyOf(pending);
      pending.clear();
      held.forEach(dispatcher);
    }
  }
}
