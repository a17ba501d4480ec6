package madderrudder.coordination.policy;

import madderrudder.protocol.Resources;

/**
 * A team's quota. Memory is not shared out.
 *
 * @param name the team's name
 * @param guaranteed what the team is guaranteed
 * @param limit what the team's tasks may take at most
 */
public record TeamQuota(String name, Resources guaranteed, Resources limit) {
  private static final long UNBOUNDED = Long.MAX_VALUE / 2;

  /**
   * A quota as the platform's settings say it, where 0 stands for no limit and no guarantee. A team
   * whose quota is in accelerators alone has its processors unlimited; taken for a limit of 0, that
   * once rejected every job of a deployment.
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

  /** Whether the team stays within its limit when its tasks take that much in all. */
  public boolean allows(Resources total) {
    return within(total, limit);
  }

  /** Whether the team stays within its guarantee when its tasks take that much in all. */
  public boolean guarantees(Resources total) {
    return within(total, guaranteed);
  }

  private static boolean within(Resources total, Resources bound) {
    return total.milliCpus() <= bound.milliCpus() && total.milliGpus() <= bound.milliGpus();
  }
}
