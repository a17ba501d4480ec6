package madderrudder.sim;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.ServiceLevelObjectives;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.protocol.Resources;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;

/**
 * The simulated store and cloud, driven by a real clock, so that a real process can use them over
 * loopback connections.
 */
public final class LoopbackServices {
  private static final long STEP_MICROS = 2_000;

  private final SimScheduler scheduler = new SimScheduler(1);
  private final SimStore store;
  private final SimCloud cloud;

  /**
   * Starts both services. {@code realClock} drives their virtual time; all calls must come from its
   * thread.
   */
  public LoopbackServices(Scheduler realClock) {
    Deployment deployment =
        new Deployment(
            List.of("east", "west"),
            Map.of("alto", new TeamQuota("alto", Resources.of(32, 0, 0), Resources.of(72, 0, 0))),
            SimulatedCluster.defaultWorkerTimes(),
            new Deployment.StateLimits(200, 80, 16 * 1024, 48),
            new Deployment.CloudLimits(2, 4_000_000),
            1,
            0,
            ServiceLevelObjectives.none());
    store = new SimStore(scheduler, deployment.state());
    SimNetwork network = new SimNetwork(scheduler, 0);
    cloud =
        new SimCloud(
            scheduler,
            network,
            new InvariantChecker(scheduler, deployment),
            deployment,
            Map.of("n-0", "10.0.0.1:8080"),
            SimulatedCluster.Size.SMALL.capacityPerPool());
    cloud.start(0);
    store.expireLeasesPeriodically();
    long startMicros = realClock.nowMicros();
    realClock.runEvery(
        STEP_MICROS, () -> scheduler.runUntil(realClock.nowMicros() - startMicros, () -> {}));
  }

  /** The handler of the store's requests; to be called on the scheduler's thread. */
  public HttpHandler storeHandler() {
    HttpHandler endpoint = store.endpointFor("n-0");
    return (HttpRequest request, Consumer<HttpResponse> answer) -> endpoint.handle(request, answer);
  }

  /** The handler of the cloud's requests; to be called on the scheduler's thread. */
  public HttpHandler cloudHandler() {
    return cloud;
  }
}
