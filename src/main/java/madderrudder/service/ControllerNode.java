package madderrudder.service;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import madderrudder.config.PlatformSettings;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.cloud.MachineTypeCatalog;
import madderrudder.coordination.membership.HeartbeatDelegate;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.coordination.registry.LeaderDependencies;
import madderrudder.metrics.Metrics;
import madderrudder.persistence.StoreClient;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.PeerMessenger;
import madderrudder.transport.Scheduler;

/**
 * One controller: creates and connects its components, and runs the leader while it is elected. The
 * clock, the network and the random numbers are injected, so that tests can simulate them. Confined
 * to the event loop thread.
 */
public final class ControllerNode implements HttpHandler {
  /** The part of the store's request rate that users get, over all controllers together. */
  private static final double USER_REQUESTS_FRACTION = 0.75;

  /** The part of the store's write rate that users get, over all controllers together. */
  private static final double USER_WRITES_FRACTION = 0.25;

  /**
   * An ordinary change of leader takes no longer than this many leader leases. After a longer time
   * without a known leader, delegates may answer heartbeats.
   */
  private static final int MAX_LEADER_CHANGE_LEASES = 2;

  private final Scheduler scheduler;
  private final PlatformSettings settings;
  private final OperatorPolicy policy;
  private final Metrics metrics = new Metrics();
  private final StoreClient store;
  private final MachineTypeCatalog catalog;
  private final LeaderElection election;
  private final HeartbeatDelegate delegate;
  private final LocalLeader localLeader;
  private final HeartbeatEndpoint heartbeatEndpoint;
  private final PeerStatusExchange peerStatusExchange;
  private final RequestRouter requestRouter;

  /**
   * Creates a controller, which is inactive until {@link #start} is called.
   *
   * @param scheduler clock and timers of the event loop
   * @param httpCaller sends HTTP requests to the store, the cloud and workers
   * @param peerMessenger sends messages to the other controllers
   * @param random adds jitter to election campaigns and to the times of redirects, and draws the
   *     number that identifies this process
   * @param settings the platform's settings
   * @param policy the operators' settings
   */
  public ControllerNode(
      Scheduler scheduler,
      HttpCaller httpCaller,
      PeerMessenger peerMessenger,
      RandomGenerator random,
      PlatformSettings settings,
      OperatorPolicy policy) {
    this.scheduler = scheduler;
    this.settings = settings;
    this.policy = policy;
    Deployment deployment = settings.deployment();
    store = createStoreClient(httpCaller);
    CloudClient cloud =
        new CloudClient(
            scheduler, httpCaller, settings.cloudAddress(), deployment.cloud().requestsPerSecond());
    catalog = new MachineTypeCatalog(scheduler, store, cloud);
    election =
        new LeaderElection(
            scheduler,
            store,
            random,
            settings.memberName(),
            policy.leaseMicros(),
            new TermListener());
    long incarnation = random.nextLong();
    delegate =
        new HeartbeatDelegate(
            scheduler, SafetyBounds.of(deployment.workers()), settings.memberName(), incarnation);
    localLeader = new LocalLeader(createLeaderDependencies(httpCaller, cloud));
    heartbeatEndpoint =
        createHeartbeatEndpoint(
            new HeartbeatForwarder(scheduler, peerMessenger, settings.memberName(), incarnation),
            random);
    peerStatusExchange = createPeerStatusExchange(peerMessenger);
    requestRouter = createRequestRouter();
  }

  /** Starts and ends the terms of the leader of this process. */
  private final class TermListener implements LeaderElection.Listener {
    @Override
    public void elected(long term, long termVersion) {
      localLeader.startTerm(term, termVersion);
    }

    @Override
    public void deposed() {
      localLeader.endTerm();
    }
  }

  /**
   * Limits users' calls to this controller's equal share of the users' part of the store's rates.
   * The leader's own calls are not counted against it.
   */
  private StoreClient createStoreClient(HttpCaller httpCaller) {
    Deployment deployment = settings.deployment();
    return new StoreClient(
        scheduler,
        httpCaller,
        settings.storeAddress(),
        deployment.state().requestsPerSecond()
            * USER_REQUESTS_FRACTION
            / deployment.controllerCount(),
        deployment.state().writesPerSecond() * USER_WRITES_FRACTION / deployment.controllerCount());
  }

  private LeaderDependencies createLeaderDependencies(HttpCaller httpCaller, CloudClient cloud) {
    return new LeaderDependencies(
        scheduler,
        store,
        httpCaller,
        cloud,
        catalog,
        election,
        settings.deployment(),
        policy,
        settings.memberName(),
        Set.copyOf(settings.peerAddresses().keySet()),
        metrics,
        delegate::renewalSafeUntilMicros);
  }

  private HeartbeatEndpoint createHeartbeatEndpoint(
      HeartbeatForwarder forwarder, RandomGenerator random) {
    return new HeartbeatEndpoint(
        new HeartbeatEndpoint.Dependencies(
            scheduler,
            election,
            localLeader,
            delegate,
            new WorkerRedirects(random, settings.maxSockets()),
            forwarder,
            settings.memberName(),
            store::isResponsive),
        policy.delegationEnabled(),
        MAX_LEADER_CHANGE_LEASES * policy.leaseMicros(),
        settings.maxSockets());
  }

  private PeerStatusExchange createPeerStatusExchange(PeerMessenger peerMessenger) {
    Deployment deployment = settings.deployment();
    WriteRateAllocator writeRateAllocator =
        new WriteRateAllocator(
            deployment.state().writesPerSecond() * USER_WRITES_FRACTION,
            deployment.controllerCount());
    return new PeerStatusExchange(
        new PeerStatusExchange.Dependencies(
            scheduler,
            peerMessenger,
            settings.memberName(),
            election,
            localLeader,
            delegate,
            heartbeatEndpoint,
            store,
            writeRateAllocator,
            metrics));
  }

  private RequestRouter createRequestRouter() {
    HealthCheck healthCheck =
        new HealthCheck(
            scheduler, catalog::hasTypes, store::isResponsive, peerStatusExchange.peerStatuses());
    DiagnosticsEndpoint diagnosticsEndpoint =
        new DiagnosticsEndpoint(
            settings.memberName(), election, localLeader, heartbeatEndpoint, healthCheck, metrics);
    JobEndpoint jobEndpoint =
        new JobEndpoint(
            scheduler, store, catalog, settings.deployment(), this::jobProgress, metrics);
    return new RequestRouter(diagnosticsEndpoint, heartbeatEndpoint, jobEndpoint);
  }

  /** Starts the catalog, the leader election, the peer status exchange and the heartbeats. */
  public void start() {
    catalog.start();
    election.start();
    peerStatusExchange.start();
    heartbeatEndpoint.start();
  }

  /** Whether this controller leads and its lease has not expired on its own clock. */
  public boolean holdsLeaderLease() {
    return election.holdsLease();
  }

  /**
   * Handles a message from another controller; a malformed one is logged and ignored.
   *
   * @param message the message without its length prefix
   */
  public void handlePeerMessage(ByteBuffer message) {
    peerStatusExchange.receive(message);
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> callback) {
    requestRouter.handle(request, callback);
  }

  /** The progress of a job, from the local leader or else as another leader has reported it. */
  private Optional<JobProgress> jobProgress(String jobId) {
    return localLeader.jobProgress(jobId).or(() -> peerStatusExchange.progressFromLeader(jobId));
  }
}
