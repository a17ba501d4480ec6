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
import madderrudder.coordination.dealings.Catalog;
import madderrudder.coordination.dealings.CloudClient;
import madderrudder.coordination.dealings.Leader;
import madderrudder.coordination.membership.Deputy;
import madderrudder.coordination.membership.Election;
import madderrudder.coordination.policy.Policy;
import madderrudder.coordination.policy.Safety;
import madderrudder.metrics.Metrics;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.persistence.StoreClient;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessage;
import madderrudder.protocol.MeshFrame;
import madderrudder.protocol.MeshFrame.JobProgress;
import madderrudder.transport.HttpCalls;
import madderrudder.transport.HttpExchange;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Peers;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller: routes requests to the desks, and leads while elected. It knows its clock,
 * network and randomness only through what it is given.
 */
public final class Node implements HttpExchange {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
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
  private final Settings settings;
  private final StoreClient store;
  private final Catalog catalog;
  private final Election election;
  private final UserDesk users;
  private final Peers peers;
  private final Leader.Surroundings surroundings;
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, JobProgress> told =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobProgress> eldest) {
          return size() > MOST_PROGRESS;
        }
      };
  private final Deputy deputy;
  private final ReportDesk reports;
  private final Metrics metrics = new Metrics();
  private final WriteShares writes;
  private long lastPulseMicros = -1;
  private Leader leader;
  private int pulses;
  private boolean malformedLogged;

  /** What a peer last said, and when. */
  private record Heard(boolean storeAnswers, long atMicros) {}

  public Node(
      Scheduler scheduler,
      HttpCalls calls,
      Peers peers,
      RandomGenerator random,
      Settings settings,
      Policy policy) {
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
        new WriteShares(deployment.state().writesPerSecond() * WRITES_SHARE, deployment.members());
    CloudClient cloud =
        new CloudClient(
            scheduler, calls, settings.cloudAddress(), deployment.cloud().requestsPerSecond());
    catalog = new Catalog(scheduler, store, cloud);
    election =
        new Election(
            scheduler,
            store,
            random,
            settings.member(),
            policy.holdMicros(),
            new Election.Listener() {
              @Override
              public void elected(long term, long helmVersion) {
                lead(term, helmVersion);
              }

              @Override
              public void deposed() {
                endLeading();
              }
            });
    users =
        new UserDesk(
            scheduler, store, catalog, deployment.teams(), deployment.state(), this::progress);
    deputy =
        new Deputy(
            scheduler, Safety.of(deployment.workers()), settings.member(), random.nextLong());
    surroundings =
        new Leader.Surroundings(
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
        new ReportDesk(
            new ReportDesk.Surroundings(
                scheduler,
                election,
                deputy,
                new Detours(random, settings.maxSockets()),
                peers,
                settings.member(),
                () -> leader,
                store::answersLately),
            policy.deputies(),
            2 * policy.holdMicros(),
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
    return election.entitled();
  }

  private void lead(long term, long helmVersion) {
    leader =
        new Leader(
            surroundings, term, helmVersion, () -> election.stepDown("the chain of commits broke"));
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
        MeshFrame.encode(
            new MeshFrame.Pulse(
                settings.member(),
                election.highestTerm(),
                name == null ? "" : name,
                store.answersLately(),
                (int) (1000 * spare),
                (int) (1000 * writes.wanted()))));
    if (leader != null && leader.ready() && ++pulses % PULSES_PER_PROGRESS == 0) {
      peers.broadcast(
          MeshFrame.encode(new MeshFrame.Progress(leader.number(), leader.someProgress())));
    }
    long grantMicros = leader == null ? 0 : leader.grantMicros();
    if (grantMicros > 0) {
      deputy.harmlessUntil(now + grantMicros);
    }
    List<MeshFrame.Echo> echoes =
        grantMicros > 0 ? leader.granted(deputy.echoes(), grantMicros) : deputy.echoes();
    deputy
        .frames(election.highestTerm(), grantMicros, echoes)
        .forEach(frame -> peers.broadcast(MeshFrame.encode(frame)));
  }

  /** A frame from another controller. */
  public void frame(ByteBuffer bytes) {
    try {
      MeshFrame frame = MeshFrame.decode(bytes);
      if (frame instanceof MeshFrame.Pulse pulse) {
        heard.put(pulse.member(), new Heard(pulse.storeAnswers(), scheduler.nowMicros()));
        election.heard(pulse.term(), pulse.leader());
        writes.heard(pulse.member(), pulse.wantedMilliWrites() / 1000.0, scheduler.nowMicros());
        if (leader == null && pulse.member().equals(election.leader())) {
          writes.lent(pulse.spareMilliWrites() / 1000.0, scheduler.nowMicros());
        }
      } else if (frame instanceof MeshFrame.Progress progress) {
        if (progress.term() >= election.highestTerm()) {
          progress.jobs().forEach(job -> told.put(job.job(), job));
        }
      } else if (frame instanceof MeshFrame.Standing standing) {
        election.heard(standing.term(), null);
        deputy.take(standing, election.highestTerm());
        if (leader != null) {
          leader.heard(standing, deputy.echo(standing));
        }
      } else if (frame instanceof MeshFrame.Answered answered) {
        if (leader != null) {
          leader.heard(answered);
        }
      } else if (frame instanceof MeshFrame.Relayed relayed) {
        reports.take(relayed);
      } else if (frame instanceof MeshFrame.RelayAnswer answer) {
        reports.take(answer);
      }
    } catch (MalformedMessage e) {
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
                      : UserDesk.unavailable("not ready")));
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
      return UserDesk.unavailable(
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

  private void logMalformed(String who, MalformedMessage cause) {
    if (malformedLogged) {
      LOG.debug("malformed message from {}: {}", who, cause.getMessage());
    } else {
      malformedLogged = true;
      LOG.info(
          "malformed message from {}: {} (further ones at level debug)", who, cause.getMessage());
    }
  }
}
