/**
 * Deterministic simulation of a whole deployment, with fault injection. Real controllers run
 * against a simulated store, cloud, network, workers and users, on one thread and in virtual time
 * ({@link madderrudder.sim.SimScheduler}); all random numbers come from one generator, which is
 * initialized with a seed, so the same seed replays the same run.
 *
 * <p>{@link madderrudder.sim.SimulatedCluster} assembles the parts and has methods that inject
 * faults. The {@link madderrudder.sim.InvariantChecker} compares the answers of the controllers
 * with the tasks that actually run, after each event and again at the end of a run. {@link
 * madderrudder.sim.RandomFaultsTest} injects random faults; {@link
 * madderrudder.sim.FaultCombinationsTest} and the other tests inject scripted ones.
 *
 * <p>To replay a failure, run its test class: the failure message and the display name contain the
 * scenario and the seed, and each test runs fixed seeds. To run more seeds, set the system property
 * that the class comment of the test names, for example {@code mvn -B test -Dtest=RandomFaultsTest
 * -DargLine="-Dseeds=500 -DlargeSeeds=50"}. Adding, removing or reordering a random draw changes
 * the run of every seed.
 */
package madderrudder.sim;
