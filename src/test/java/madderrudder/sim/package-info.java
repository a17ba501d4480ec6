/**
 * Deterministic simulation of a whole deployment, with fault injection. Real controllers run
 * against a simulated store, cloud, network, workers and users, on one thread and in virtual time
 * ({@link madderrudder.sim.SimScheduler}); all randomness is drawn from one generator that a seed
 * starts, so a seed replays a run exactly.
 *
 * <p>{@link madderrudder.sim.SimulatedCluster} puts the parts together and offers the faults. The
 * {@link madderrudder.sim.InvariantChecker} compares what controllers answer with what really runs
 * after each event, and again at the end of a run. {@link madderrudder.sim.RandomFaultsTest} draws
 * faults at random; {@link madderrudder.sim.FaultCombinationsTest} and the other tests play
 * scripted ones.
 *
 * <p>To replay a failure, run its test class: the message and the display name have the scenario
 * and the seed, and the seeds of the tests are fixed. To search longer, pass more seeds in a system
 * property, which each test's class comment names, for example {@code mvn -B test
 * -Dtest=RandomFaultsTest -DargLine="-Dseeds=500 -DlargeSeeds=50"}. A change that draws another
 * random number, or draws in another order, makes every seed a different run.
 */
package madderrudder.sim;
