package madderrudder.sim;

import madderrudder.coordination.policy.OperatorPolicy;

/** The operator policies of the simulated clusters. */
final class SimPolicies {
  private static final long LEASE_MICROS = 3_000_000;
  private static final double HEADROOM = 0.1;
  private static final double PATIENCE = 0.1;

  private SimPolicies() {}

  /**
   * A policy for a few machines, with at most {@code budget} rentals in 100 s.
   *
   * @param delegation whether controllers may renew the leases of workers that can't reach the
   *     leader
   * @param learnedRunTimes whether run times are learned from past runs; if not, the owners'
   *     estimates are corrected
   */
  static OperatorPolicy smallCluster(int budget, boolean delegation, boolean learnedRunTimes) {
    return new OperatorPolicy(
        3_000_000,
        1_000_000,
        budget,
        100_000_000,
        15_000_000,
        OperatorPolicy.SpotMode.ALWAYS,
        LEASE_MICROS,
        HEADROOM,
        PATIENCE,
        delegation,
        learnedRunTimes);
  }

  /**
   * A policy with delegation for hundreds of machines, with at most {@code budget} rentals in 300
   * s.
   */
  static OperatorPolicy largeCluster(int budget, boolean learnedRunTimes) {
    return new OperatorPolicy(
        1_000_000,
        1_000_000,
        budget,
        300_000_000,
        20_000_000,
        OperatorPolicy.SpotMode.ALWAYS,
        LEASE_MICROS,
        HEADROOM,
        PATIENCE,
        true,
        learnedRunTimes);
  }
}
