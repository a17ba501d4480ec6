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
 * The collaborators that a controller hands to the leader of each term it wins.
 *
 * @param scheduler clock and timers of the event loop
 * @param store client of the consensus-backed key-value store
 * @param calls sends commands directly to workers
 * @param cloud client of the cloud's rental API
 * @param catalog the machine types the cloud offers
 * @param election tells whether the leader's lease on the store still holds
 * @param deployment the platform's settings
 * @param policy the operators' settings
 * @param member this controller's name
 * @param others the names of the other controllers
 * @param metrics where timings are recorded
 * @param renewalSafeUntilMicros until when, on the scheduler's clock in microseconds, a heartbeat
 *     may be answered without commands although the store has not been read yet
 */
public record LeaderDependencies(
    Scheduler scheduler,
    StoreClient store,
    HttpCaller calls,
    CloudClient cloud,
    MachineTypeCatalog catalog,
    LeaderElection election,
    Deployment deployment,
    OperatorPolicy policy,
    String member,
    Set<String> others,
    Metrics metrics,
    LongSupplier renewalSafeUntilMicros) {}
