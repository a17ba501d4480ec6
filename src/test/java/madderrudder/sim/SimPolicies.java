package madderrudder.sim;

import madderrudder.coordination.policy.OperatorPolicy;

/** The operators' settings that the simulated clusters run with. */
final class SimPolicies {
  private static final long LEASE_MICROS = 3_000_000;
  private static final double HEADROOM = 0.1;
  private static final double PATIENCE = 0.1;

  private SimPolicies() {}

  /**
   * For a few machines: {@code budget} rentals in 100 s.
   *
   * @param delegation whether controllers answer workers that can't reach the leader
   * @param learnedRunTimes whether run times are learned rather than owners' guesses corrected
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

  /** For hundreds of machines: {@code budget} rentals in 300 s, with delegation. */
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
