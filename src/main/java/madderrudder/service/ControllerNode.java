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
 * One controller: wires its parts together, and leads while elected. It knows its clock, network
 * and randomness only through what it is given. Confined to the event loop thread.
 */
public final class ControllerNode implements HttpHandler {
  /** Of the store's rates, for what users ask of all nodes together. */
  private static final double REQUESTS_SHARE = 0.75;

  private static final double WRITES_SHARE = 0.25;

  /** Nobody leading for so many leases is more than a change of leader. */
  private static final int LEADERLESS_LEASES = 2;

  private final Scheduler scheduler;
  private final PlatformSettings settings;
  private final OperatorPolicy policy;
  private final Metrics metrics = new Metrics();
  private final StoreClient store;
  private final MachineTypeCatalog catalog;
  private final LeaderElection election;
  private final HeartbeatDelegate delegate;
  private final LocalLeader leader;
  private final HeartbeatEndpoint heartbeats;
  private final PeerStatusExchange peerStatus;
  private final RequestRouter router;

  /**
   * Creates a controller that does nothing before {@link #start}.
   *
   * @param scheduler clock and timers of the event loop
   * @param calls sends requests to the store, the cloud and workers
   * @param peers sends messages to the other controllers
   * @param random spreads campaigns and redirects, and names this process
   * @param settings the platform's settings
   * @param policy the operators' settings
   */
  public ControllerNode(
      Scheduler scheduler,
      HttpCaller calls,
      PeerMessenger peers,
      RandomGenerator random,
      PlatformSettings settings,
      OperatorPolicy policy) {
    this.scheduler = scheduler;
    this.settings = settings;
    this.policy = policy;
    Deployment deployment = settings.deployment();
    store = storeClient(calls);
    CloudClient cloud =
        new CloudClient(
            scheduler, calls, settings.cloudAddress(), deployment.cloud().requestsPerSecond());
    catalog = new MachineTypeCatalog(scheduler, store, cloud);
    election =
        new LeaderElection(
            scheduler, store, random, settings.member(), policy.leaseMicros(), new TermListener());
    delegate =
        new HeartbeatDelegate(
            scheduler, SafetyBounds.of(deployment.workers()), settings.member(), random.nextLong());
    leader = new LocalLeader(leaderDependencies(calls, cloud));
    heartbeats = heartbeatEndpoint(peers, random);
    peerStatus = peerStatusExchange(peers);
    router = requestRouter();
  }

  /** Begins and ends this process's terms as the leader. */
  private final class TermListener implements LeaderElection.Listener {
    @Override
    public void elected(long term, long termVersion) {
      leader.begin(term, termVersion);
    }

    @Override
    public void deposed() {
      leader.end();
    }
  }

  /** What users ask for is spread over the nodes; the leader's own calls come on top. */
  private StoreClient storeClient(HttpCaller calls) {
    Deployment deployment = settings.deployment();
    return new StoreClient(
        scheduler,
        calls,
        settings.stateAddress(),
        deployment.state().requestsPerSecond() * REQUESTS_SHARE / deployment.members(),
        deployment.state().writesPerSecond() * WRITES_SHARE / deployment.members());
  }

  private LeaderDependencies leaderDependencies(HttpCaller calls, CloudClient cloud) {
    return new LeaderDependencies(
        scheduler,
        store,
        calls,
        cloud,
        catalog,
        election,
        settings.deployment(),
        policy,
        settings.member(),
        Set.copyOf(settings.peers().keySet()),
        metrics,
        delegate::renewalSafeUntilMicros);
  }

  private HeartbeatEndpoint heartbeatEndpoint(PeerMessenger peers, RandomGenerator random) {
    return new HeartbeatEndpoint(
        new HeartbeatEndpoint.Dependencies(
            scheduler,
            election,
            leader,
            delegate,
            new WorkerRedirects(random, settings.maxSockets()),
            new HeartbeatForwarder(scheduler, peers, settings.member()),
            settings.member(),
            store::isResponsive),
        policy.delegation(),
        LEADERLESS_LEASES * policy.leaseMicros(),
        settings.maxSockets());
  }

  private PeerStatusExchange peerStatusExchange(PeerMessenger peers) {
    Deployment deployment = settings.deployment();
    WriteRateAllocator writeRate =
        new WriteRateAllocator(
            deployment.state().writesPerSecond() * WRITES_SHARE, deployment.members());
    return new PeerStatusExchange(
        new PeerStatusExchange.Parts(
            scheduler,
            peers,
            settings.member(),
            election,
            leader,
            delegate,
            heartbeats,
            store,
            writeRate,
            metrics));
  }

  private RequestRouter requestRouter() {
    HealthCheck health =
        new HealthCheck(scheduler, catalog::known, store::isResponsive, peerStatus.peerStatuses());
    DiagnosticsEndpoint diagnostics =
        new DiagnosticsEndpoint(settings.member(), election, leader, heartbeats, health, metrics);
    JobEndpoint jobs =
        new JobEndpoint(scheduler, store, catalog, settings.deployment(), this::progress, metrics);
    return new RequestRouter(diagnostics, heartbeats, jobs);
  }

  /** Begins to follow the store, to take part in elections and to tell the peers its status. */
  public void start() {
    catalog.start();
    election.start();
    peerStatus.start();
    heartbeats.start();
  }

  /** Whether this controller leads, and its lease has not expired by its own clock. */
  public boolean leads() {
    return election.holdsLease();
  }

  /**
   * Takes a message from another controller; a malformed one is logged and ignored.
   *
   * @param message the message without its length
   */
  public void receive(ByteBuffer message) {
    peerStatus.receive(message);
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> answer) {
    router.handle(request, answer);
  }

  private Optional<JobProgress> progress(String job) {
    return leader.progress(job).or(() -> peerStatus.reportedProgress(job));
  }
}
