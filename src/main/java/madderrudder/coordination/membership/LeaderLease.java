package madderrudder.coordination.membership;

import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.transport.Scheduler;

/**
 * The lease that one term's leader has on its key in the store: renewed until it is released or
 * expires. Confined to the event loop thread; times are microseconds of the steady clock.
 */
final class LeaderLease {
  private static final long RETRY_MICROS = 200_000;
  private static final int RENEWALS_PER_LEASE = 4;

  private final Scheduler scheduler;
  private final StoreClient store;
  private final long id;
  private final long lengthMicros;
  private final Runnable onExpired;
  private long endMicros;
  private boolean released;

  /**
   * A lease as the store granted it.
   *
   * @param id the lease's id in the store
   * @param requestedMicros when it was asked for; it began no earlier
   */
  record Grant(long id, long requestedMicros) {}

  /**
   * A lease that was just granted.
   *
   * @param lengthMicros how long it lasts after each renewal
   * @param onExpired is run if the store says that the lease has expired
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

  /** The moment up to which the lease certainly lasts, drift of the clocks allowed for. */
  long endMicros() {
    return endMicros;
  }

  /** Renews the lease several times within its length, until it is released or has expired. */
  void keepRenewed() {
    renewAfter(lengthMicros / RENEWALS_PER_LEASE);
  }

  /** Gives the lease back, which deletes the leader's key. */
  void release() {
    released = true;
    store.revokeLease(id);
  }

  private void renewAfter(long delayMicros) {
    scheduler.after(
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
            keepRenewed();
          } else if (reply.is(Outcome.GONE)) {
            onExpired.run();
          } else {
            renewAfter(RETRY_MICROS);
          }
        });
  }
}
