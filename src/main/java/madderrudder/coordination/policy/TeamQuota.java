package madderrudder.coordination.policy;

import madderrudder.protocol.Resources;

/**
 * The quota of a team, for processors and accelerators. Memory has no quota.
 *
 * @param name the team's name
 * @param guaranteed the resources that are guaranteed to the team
 * @param limit the maximum of resources that the team's tasks may use together
 */
public record TeamQuota(String name, Resources guaranteed, Resources limit) {
  private static final long UNBOUNDED = Long.MAX_VALUE / 2;

  /**
   * Creates a quota from the platform's settings, where a value of 0 means that this resource has
   * no bound; a guarantee of 0 for both resources means no guarantee. A team with a quota for
   * accelerators only may use any number of processors: reading that 0 as a limit rejected every
   * job of such a deployment.
   */
  public static TeamQuota of(String name, Resources guaranteed, Resources limit) {
    boolean hasGuarantee = guaranteed.nanoCpus() > 0 || guaranteed.nanoGpus() > 0;
    return new TeamQuota(
        name, hasGuarantee ? zeroAsUnbounded(guaranteed) : Resources.NONE, zeroAsUnbounded(limit));
  }

  private static Resources zeroAsUnbounded(Resources bound) {
    return new Resources(
        bound.nanoCpus() == 0 ? UNBOUNDED : bound.nanoCpus(),
        bound.nanoGpus() == 0 ? UNBOUNDED : bound.nanoGpus(),
        bound.nanoMemoryGb());
  }

  /** Whether the team stays within its limit if its tasks use this total. */
  public boolean allows(Resources total) {
    return isWithin(total, limit);
  }

  /** Whether the team stays within its guarantee if its tasks use this total. */
  public boolean guarantees(Resources total) {
    return isWithin(total, guaranteed);
  }

  private static boolean isWithin(Resources total, Resources bound) {
    return total.nanoCpus() <= bound.nanoCpus() && total.nanoGpus() <= bound.nanoGpus();
  }
}
