package madderrudder.coordination.registry;

import java.util.Set;
import java.util.function.LongSupplier;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.cloud.MachineTypeCatalog;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.metrics.Metrics;
import madderrudder.persistence.StoreClient;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.Scheduler;

/**
 * The collaborators that a controller passes to the {@link LeaderTerm} of each term it wins.
 *
 * @param scheduler the clock and timers of the event loop
 * @param store the client of the consensus-backed key-value store
 * @param httpCaller the HTTP client that sends commands directly to workers
 * @param cloud the client of the cloud's rental API
 * @param catalog the machine types that the cloud offers
 * @param election the leader election, which tells whether the leader's lease in the store holds
 * @param deployment the platform's settings
 * @param policy the operators' settings
 * @param member the name of this controller
 * @param otherMembers the names of the other controllers
 * @param metrics the recorder of timings
 * @param renewalSafeUntilMicros the time, on the scheduler's clock in microseconds, until which the
 *     leader may answer heartbeats without commands while it has not read the store yet
 */
public record LeaderDependencies(
    Scheduler scheduler,
    StoreClient store,
    HttpCaller httpCaller,
    CloudClient cloud,
    MachineTypeCatalog catalog,
    LeaderElection election,
    Deployment deployment,
    OperatorPolicy policy,
    String member,
    Set<String> otherMembers,
    Metrics metrics,
    LongSupplier renewalSafeUntilMicros) {}
