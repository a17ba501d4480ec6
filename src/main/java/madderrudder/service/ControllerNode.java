package madderrudder.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import madderrudder.config.PlatformSettings;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.cloud.MachineTypeCatalog;
import madderrudder.coordination.leader.Leader;
import madderrudder.coordination.membership.HeartbeatDelegate;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.coordination.registry.LeaderDependencies;
import madderrudder.metrics.Metrics;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.persistence.StoreClient;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.PeerMessage;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.PeerMessenger;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: routes requests to the desks, and leads while elected. It knows its clock,
 * network and randomness only through what it is given.
 */
public final class ControllerNode implements HttpHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);
  private static final long PULSE_MICROS = 400_000;
  private static final long PEER_SILENT_MICROS = 2_000_000;
  private static final int MOST_PROGRESS = 5_000;
  private static final int PULSES_PER_PROGRESS = 2;

  /** Of the store's rates, for what users ask of all nodes together. */
  private static final double REQUESTS_SHARE = 0.75;

  private static final double WRITES_SHARE = 0.25;
  private static final String JOBS = "/v1/jobs";
  private static final String HISTORY = "/history/";
  private static final String WITHDRAW = "/withdraw";

  private final Scheduler scheduler;
  private final PlatformSettings settings;
  private final StoreClient store;
  private final MachineTypeCatalog catalog;
  private final LeaderElection election;
  private final JobEndpoint users;
  private final PeerMessenger peers;
  private final LeaderDependencies surroundings;
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, JobProgress> told =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobProgress> eldest) {
          return size() > MOST_PROGRESS;
        }
      };
  private final HeartbeatDelegate deputy;
  private final HeartbeatEndpoint reports;
  private final Metrics metrics = new Metrics();
  private final WriteRateAllocator writes;
  private long lastPulseMicros = -1;
  private Leader leader;
  private int pulses;
  private boolean malformedLogged;

  /** What a peer last said, and when. */
  private record Heard(boolean storeAnswers, long atMicros) {}

  public ControllerNode(
      Scheduler scheduler,
      HttpCaller calls,
      PeerMessenger peers,
      RandomGenerator random,
      PlatformSettings settings,
      OperatorPolicy policy) {
    this.scheduler = scheduler;
    this.settings = settings;
    this.peers = peers;
    var deployment = settings.deployment();
    // What users ask for is spread over the nodes; the leader's own calls come on top.
    store =
        new StoreClient(
            scheduler,
            calls,
            settings.stateAddress(),
            deployment.state().requestsPerSecond() * REQUESTS_SHARE / deployment.members(),
            deployment.state().writesPerSecond() * WRITES_SHARE / deployment.members());
    writes =
        new WriteRateAllocator(
            deployment.state().writesPerSecond() * WRITES_SHARE, deployment.members());
    CloudClient cloud =
        new CloudClient(
            scheduler, calls, settings.cloudAddress(), deployment.cloud().requestsPerSecond());
    catalog = new MachineTypeCatalog(scheduler, store, cloud);
    election =
        new LeaderElection(
            scheduler,
            store,
            random,
            settings.member(),
            policy.leaseMicros(),
            new LeaderElection.Listener() {
              @Override
              public void elected(long term, long termVersion) {
                lead(term, termVersion);
              }

              @Override
              public void deposed() {
                endLeading();
              }
            });
    users =
        new JobEndpoint(
            scheduler, store, catalog, deployment.teams(), deployment.state(), this::progress);
    deputy =
        new HeartbeatDelegate(
            scheduler, SafetyBounds.of(deployment.workers()), settings.member(), random.nextLong());
    surroundings =
        new LeaderDependencies(
            scheduler,
            store,
            calls,
            cloud,
            catalog,
            election,
            deployment,
            policy,
            settings.member(),
            Set.copyOf(settings.peers().keySet()),
            metrics,
            deputy::harmlessUntilMicros);
    reports =
        new HeartbeatEndpoint(
            new HeartbeatEndpoint.Surroundings(
                scheduler,
                election,
                deputy,
                new WorkerRedirects(random, settings.maxSockets()),
                peers,
                settings.member(),
                () -> leader,
                store::answersLately),
            policy.delegation(),
            2 * policy.leaseMicros(),
            settings.maxSockets());
  }

  public void start() {
    catalog.start();
    election.start();
    scheduler.every(PULSE_MICROS, this::pulse);
    reports.start();
  }

  /** Whether this node holds the lead at this moment. */
  public boolean leads() {
    return election.holdsLease();
  }

  private void lead(long term, long termVersion) {
    leader =
        new Leader(
            surroundings, term, termVersion, () -> election.stepDown("the chain of commits broke"));
    leader.begin();
  }

  private void endLeading() {
    if (leader != null) {
      leader.end();
      leader = null;
    }
  }

  private void pulse() {
    long now = scheduler.nowMicros();
    long sinceMicros = lastPulseMicros < 0 ? PULSE_MICROS : now - lastPulseMicros;
    metrics.record(Timing.LOOP_DELAY, sinceMicros - PULSE_MICROS);
    lastPulseMicros = now;
    String name = election.leader();
    double spare = leader == null ? 0 : leader.spareWritesPerSecond(sinceMicros);
    writes.wanted(store.takeWanted() * 1e6 / Math.max(1, sinceMicros));
    if (leader != null) {
      writes.lent(spare, now);
    }
    store.userWrites(writes.perSecond(now));
    peers.broadcast(
        PeerMessageCodec.encode(
            new PeerMessage.NodeStatus(
                settings.member(),
                election.highestTerm(),
                name == null ? "" : name,
                store.answersLately(),
                (int) (1000 * spare),
                (int) (1000 * writes.wanted()))));
    if (leader != null && leader.ready() && ++pulses % PULSES_PER_PROGRESS == 0) {
      peers.broadcast(
          PeerMessageCodec.encode(
              new PeerMessage.ProgressUpdate(leader.number(), leader.someProgress())));
    }
    long grantMicros = leader == null ? 0 : leader.grantMicros();
    if (grantMicros > 0) {
      deputy.harmlessUntil(now + grantMicros);
    }
    List<PeerMessage.StampEcho> echoes =
        grantMicros > 0 ? leader.granted(deputy.echoes(), grantMicros) : deputy.echoes();
    deputy
        .frames(election.highestTerm(), grantMicros, echoes)
        .forEach(frame -> peers.broadcast(PeerMessageCodec.encode(frame)));
  }

  /** A frame from another controller. */
  public void frame(ByteBuffer bytes) {
    try {
      PeerMessage frame = PeerMessageCodec.decode(bytes);
      if (frame instanceof PeerMessage.NodeStatus pulse) {
        heard.put(pulse.member(), new Heard(pulse.storeAnswers(), scheduler.nowMicros()));
        election.heard(pulse.term(), pulse.leader());
        writes.heard(pulse.member(), pulse.wantedMilliWrites() / 1000.0, scheduler.nowMicros());
        if (leader == null && pulse.member().equals(election.leader())) {
          writes.lent(pulse.spareMilliWrites() / 1000.0, scheduler.nowMicros());
        }
      } else if (frame instanceof PeerMessage.ProgressUpdate progress) {
        if (progress.term() >= election.highestTerm()) {
          progress.jobs().forEach(job -> told.put(job.job(), job));
        }
      } else if (frame instanceof PeerMessage.MembershipStatus standing) {
        election.heard(standing.term(), null);
        deputy.take(standing, election.highestTerm());
        if (leader != null) {
          leader.heard(standing, deputy.echo(standing));
        }
      } else if (frame instanceof PeerMessage.DelegatedRenewals answered) {
        if (leader != null) {
          leader.heard(answered);
        }
      } else if (frame instanceof PeerMessage.ForwardedHeartbeat relayed) {
        reports.take(relayed);
      } else if (frame instanceof PeerMessage.ForwardedResponse answer) {
        reports.take(answer);
      }
    } catch (MalformedMessageException e) {
      logMalformed("a peer", e);
    }
  }

  /**
   * Cut off from the store, users are better served elsewhere, also if no peer can be heard that
   * would say so. If peers are heard and none reaches it either, going unhealthy would only keep
   * users away for longer once it is back.
   */
  private boolean healthy() {
    if (!catalog.known()) {
      return false;
    }
    if (store.answersLately()) {
      return true;
    }
    long now = scheduler.nowMicros();
    List<Heard> lately =
        heard.values().stream().filter(peer -> now - peer.atMicros() < PEER_SILENT_MICROS).toList();
    return (heard.isEmpty() || !lately.isEmpty()) && lately.stream().noneMatch(Heard::storeAnswers);
  }

  private JobProgress progress(String id) {
    JobProgress own = leader == null ? null : leader.progress(id);
    return own != null ? own : told.get(id);
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> answer) {
    String path = request.path();
    if (path.equals("/healthz")) {
      only(
          "GET",
          request,
          answer,
          () ->
              answer.accept(
                  healthy()
                      ? HttpResponse.of(200, Json.object(out -> out.writeBooleanField("ok", true)))
                      : JobEndpoint.unavailable("not ready")));
    } else if (path.equals("/metrics")) {
      only(
          "GET",
          request,
          answer,
          () -> answer.accept(HttpResponse.of(200, Json.object(this::writeMetrics))));
    } else if (path.startsWith(HISTORY)) {
      only("GET", request, answer, () -> answer.accept(history(path.substring(HISTORY.length()))));
    } else if (path.equals("/hello")) {
      only("POST", request, answer, () -> reports.report(request.body(), answer));
    } else if (path.equals(JOBS)) {
      only("POST", request, answer, () -> submit(request.body(), answer));
    } else if (path.startsWith(JOBS + "/") && path.endsWith(WITHDRAW)) {
      String id = path.substring(JOBS.length() + 1, path.length() - WITHDRAW.length());
      only("POST", request, answer, () -> users.withdraw(id, answer));
    } else if (path.startsWith(JOBS + "/")) {
      only("GET", request, answer, () -> users.poll(path.substring(JOBS.length() + 1), answer));
    } else {
      answer.accept(HttpResponse.of(404, Json.error("no such path")));
    }
  }

  private void submit(byte[] body, Consumer<HttpResponse> answer) {
    long beginMicros = scheduler.nowMicros();
    users.submit(
        body,
        response -> {
          long tookMicros = scheduler.nowMicros() - beginMicros;
          metrics.record(Timing.SUBMISSION, tookMicros);
          LOG.debug(
              "a submission was answered {} after {} ms", response.status(), tookMicros / 1000);
          answer.accept(response);
        });
  }

  /** What has run after the number, which only the leader knows. */
  private HttpResponse history(String after) {
    if (leader == null || !leader.ready()) {
      return JobEndpoint.unavailable(
          "only the leader knows, "
              + (election.leader() == null ? "which is not known" : election.leader()));
    }
    try {
      long number = Long.parseLong(after);
      return HttpResponse.of(200, Json.object(out -> leader.writeHistory(out, number)));
    } catch (NumberFormatException e) {
      return HttpResponse.of(404, Json.error("expected " + HISTORY + "NUMBER"));
    }
  }

  private void writeMetrics(JsonGenerator out) throws IOException {
    String name = election.leader();
    out.writeStringField("member", settings.member());
    out.writeStringField("leader", name == null ? "" : name);
    out.writeNumberField("term", election.highestTerm());
    if (leader != null && leader.ready()) {
      leader.writeState(out);
    }
    reports.write(out);
    metrics.write(out);
  }

  private static void only(
      String method, HttpRequest request, Consumer<HttpResponse> answer, Runnable action) {
    if (request.method().equals(method)) {
      action.run();
    } else {
      answer.accept(HttpResponse.of(405, Json.error("only " + method + " here")));
    }
  }

  private void logMalformed(String who, MalformedMessageException cause) {
    if (malformedLogged) {
      LOG.debug("malformed message from {}: {}", who, cause.getMessage());
    } else {
      malformedLogged = true;
      LOG.info(
          "malformed message from {}: {} (further ones at level debug)", who, cause.getMessage());
    }
  }
}
