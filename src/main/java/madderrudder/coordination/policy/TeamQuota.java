package madderrudder.coordination.policy;

import madderrudder.protocol.Resources;

/** A team: what it is guaranteed, and what its tasks may take at most. Memory is not shared out. */
public record TeamQuota(String name, Resources guaranteed, Resources limit) {
  private static final long UNBOUNDED = Long.MAX_VALUE / 2;

  /**
   * As the platform's settings say it, where 0 stands for none: no limit, and no guarantee. What is
   * shared out by accelerators alone leaves processors free; taken for a limit of 0, that once kept
   * every job of a deployment out.
   */
  public static TeamQuota of(String name, Resources guaranteed, Resources limit) {
    boolean guarantees = guaranteed.milliCpus() > 0 || guaranteed.milliGpus() > 0;
    return new TeamQuota(
        name, guarantees ? unbounded(guaranteed) : Resources.NONE, unbounded(limit));
  }

  private static Resources unbounded(Resources bound) {
    return new Resources(
        bound.milliCpus() == 0 ? UNBOUNDED : bound.milliCpus(),
        bound.milliGpus() == 0 ? UNBOUNDED : bound.milliGpus(),
        bound.memoryMb());
  }

  /** Whether the team stays within its limit when it takes that much. */
  public boolean allows(Resources total) {
    return within(total, limit);
  }

  public boolean guarantees(Resources total) {
    return within(total, guaranteed);
  }

  private static boolean within(Resources total, Resources bound) {
    return total.milliCpus() <= bound.milliCpus() && total.milliGpus() <= bound.milliGpus();
  }
}
