package madderrudder.coordination.membership;

import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.transport.Scheduler;

/**
 * The lease in the store that the leader key of one term is attached to. It is renewed until it is
 * released or expires. Confined to the event loop thread; times are microseconds of the monotonic
 * clock.
 */
final class LeaderLease {
  private static final long RENEWAL_RETRY_INTERVAL_MICROS = 200_000;
  private static final int RENEWALS_PER_LEASE = 4;

  private final Scheduler scheduler;
  private final StoreClient store;
  private final long id;
  private final long lengthMicros;
  private final Runnable onExpired;
  private long endMicros;
  private boolean released;

  /**
   * A lease that the store has granted.
   *
   * @param id the lease's id in the store
   * @param requestedMicros when the request was sent; the lease began no earlier
   */
  record Grant(long id, long requestedMicros) {}

  /**
   * Creates the lease from a grant; renewals begin with {@link #scheduleNextRenewal}.
   *
   * @param lengthMicros how long the lease lasts after each renewal
   * @param onExpired runs when the store reports that the lease has expired
   */
  LeaderLease(
      Scheduler scheduler, StoreClient store, Grant grant, long lengthMicros, Runnable onExpired) {
    this.scheduler = scheduler;
    this.store = store;
    id = grant.id();
    this.lengthMicros = lengthMicros;
    this.onExpired = onExpired;
    endMicros = SafetyBounds.leaseEndMicros(grant.requestedMicros(), lengthMicros);
  }

  /** Returns the time until which the lease is certain to last, with clock drift subtracted. */
  long endMicros() {
    return endMicros;
  }

  /**
   * Schedules the next renewal; each successful renewal schedules another. Several renewals fall
   * within the length of the lease. They stop when the lease is released or has expired.
   */
  void scheduleNextRenewal() {
    renewAfter(lengthMicros / RENEWALS_PER_LEASE);
  }

  /** Revokes the lease, which deletes the leader key. */
  void release() {
    released = true;
    store.revokeLease(id);
  }

  private void renewAfter(long delayMicros) {
    scheduler.runAfter(
        delayMicros,
        () -> {
          if (!released) {
            renew();
          }
        });
  }

  private void renew() {
    long requestedMicros = scheduler.nowMicros();
    store.renewLease(
        id,
        reply -> {
          if (released) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            long renewedMicros = SafetyBounds.leaseEndMicros(requestedMicros, lengthMicros);
            endMicros = Math.max(endMicros, renewedMicros);
            scheduleNextRenewal();
          } else if (reply.is(Outcome.GONE)) {
            onExpired.run();
          } else {
            renewAfter(RENEWAL_RETRY_INTERVAL_MICROS);
          }
        });
  }
}
