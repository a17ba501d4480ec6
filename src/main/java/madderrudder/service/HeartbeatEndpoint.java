package madderrudder.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import madderrudder.coordination.leader.Leader;
import madderrudder.coordination.membership.HeartbeatDelegate;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.protocol.WorkerCodec;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.PeerMessenger;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Workers' reports at any controller. The leader answers them. Elsewhere a worker is sent to the
 * leader; if it can't reach it, its report is passed on, or, where the leader can't be reached from
 * here either, answered without commands for as long as the leader has granted that.
 */
final class HeartbeatEndpoint {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatEndpoint.class);

  /** Within the four seconds that a worker waits, with time for what follows. */
  private static final long HOMELESS_MICROS = 2_500_000;

  private static final long SETTLE_MICROS = 50_000;

  /** Well within the four seconds that a worker waits. */
  private static final long RELAY_MICROS = 1_500_000;

  private final Surroundings around;
  private final Scheduler scheduler;
  private final LeaderElection election;
  private final HeartbeatDelegate deputy;
  private final boolean delegation;
  private final long leaderlessMicros;

  /** Each holds a connection, and half of them may: users and peers need some too. */
  private final int mostHomeless;

  private final Set<Homeless> homeless = new LinkedHashSet<>();
  private final Map<Long, Consumer<String>> relayed = new HashMap<>();
  private long relays;
  private long lastLedMicros;
  private boolean malformedLogged;
  private boolean standingIn;
  private long stoodIn;

  /** A report that came while it was not clear who answers it. */
  private record Homeless(Heartbeat report, byte[] body, Consumer<HttpResponse> answer) {}

  /** What a controller has at hand for this. */
  record Surroundings(
      Scheduler scheduler,
      LeaderElection election,
      HeartbeatDelegate deputy,
      WorkerRedirects detours,
      PeerMessenger peers,
      String member,
      Supplier<Leader> leader,
      BooleanSupplier storeAnswers) {}

  /** Nobody leading for {@code leaderlessMicros} is more than a change of leader. */
  HeartbeatEndpoint(
      Surroundings around, boolean delegation, long leaderlessMicros, int maxSockets) {
    this.around = around;
    scheduler = around.scheduler();
    election = around.election();
    deputy = around.deputy();
    this.delegation = delegation;
    this.leaderlessMicros = leaderlessMicros;
    mostHomeless = maxSockets / 2;
    lastLedMicros = scheduler.nowMicros();
  }

  /**
   * How many reports were answered in a leader's stead, and how many were passed on to one, since
   * the start.
   */
  void write(JsonGenerator out) throws IOException {
    out.writeNumberField("reports_stood_in", stoodIn);
    out.writeNumberField("reports_passed_on", relays);
  }

  void start() {
    scheduler.every(SETTLE_MICROS, this::settle);
  }

  void report(byte[] body, Consumer<HttpResponse> answer) {
    Heartbeat report;
    try {
      report = read(body);
    } catch (MalformedMessageException e) {
      logMalformed(e);
      answer.accept(HttpResponse.of(400, Json.error(e.getMessage())));
      return;
    }
    Homeless arrived = new Homeless(report, body, answer);
    if (!settled() && homeless.size() < mostHomeless) {
      keep(arrived);
    } else {
      decide(arrived);
    }
  }

  private Heartbeat read(byte[] body) throws MalformedMessageException {
    Heartbeat report = WorkerCodec.readHeartbeat(body);
    if (!election.heardToken(report.token())) {
      throw new MalformedMessageException("no leader has given the token " + report.token());
    }
    return report;
  }

  /**
   * While nobody leads, or the leader here has not read what there is, a worker sent away comes
   * back a second later at the earliest, and its lease runs. Its report is kept for a moment
   * instead, and answered once it is clear by whom.
   */
  private void keep(Homeless kept) {
    homeless.add(kept);
    scheduler.after(
        HOMELESS_MICROS,
        () -> {
          if (homeless.remove(kept)) {
            decide(kept);
          }
        });
  }

  /** Whether it is clear who answers reports. */
  private boolean settled() {
    Leader here = around.leader().get();
    return here != null ? here.takesReports() : election.leader() != null;
  }

  private void settle() {
    boolean led = settled();
    if (led) {
      lastLedMicros = scheduler.nowMicros();
    }
    if (!homeless.isEmpty() && led) {
      List<Homeless> settled = List.copyOf(homeless);
      homeless.clear();
      settled.forEach(this::decide);
    }
  }

  private void decide(Homeless arrived) {
    Leader here = around.leader().get();
    if (here == null) {
      follow(arrived);
      return;
    }
    here.report(
        arrived.report(),
        reply -> {
          if (reply.orders() == null) {
            redirect(arrived.answer());
          } else {
            arrived
                .answer()
                .accept(
                    HttpResponse.of(
                        200, WorkerCodec.heartbeatResponse(reply.token(), reply.orders())));
          }
        });
  }

  /** A report at a controller that does not lead. */
  private void follow(Homeless arrived) {
    String name = election.leader();
    boolean heard = name != null && deputy.hears(name);
    if (!delegation || (heard && !served(arrived))) {
      redirect(arrived.answer());
    } else if (heard) {
      relay(name, arrived);
    } else if (name == null
        ? scheduler.nowMicros() - lastLedMicros > leaderlessMicros
        : !around.storeAnswers().getAsBoolean() || served(arrived)) {
      standIn(arrived);
    } else {
      redirect(arrived.answer());
    }
  }

  private boolean served(Homeless arrived) {
    return around
        .detours()
        .serves(arrived.report().machine(), arrived.report().zone(), scheduler.nowMicros());
  }

  /**
   * Answers in the leader's stead, with no command, a worker that has something to lose; one
   * without tasks had better look for the leader.
   */
  private void standIn(Homeless arrived) {
    if (arrived.report().tasks().isEmpty()
        || !deputy.mayAnswer(election.highestTerm())
        || !deputy.answers(arrived.report())) {
      redirect(arrived.answer());
      return;
    }
    if (!standingIn) {
      standingIn = true;
      LOG.info("answering workers in the stead of {}", election.leader());
    }
    stoodIn++;
    long token = FencingToken.echo(arrived.report().token(), deputy.term());
    arrived.answer().accept(HttpResponse.of(200, WorkerCodec.heartbeatResponse(token, List.of())));
  }

  private void relay(String name, Homeless arrived) {
    standingIn = false;
    if (!PeerMessageCodec.canForward(arrived.body().length)) {
      standIn(arrived);
      return;
    }
    long number = ++relays;
    relayed.put(
        number,
        text -> {
          if (text.isEmpty()) {
            redirect(arrived.answer());
          } else {
            arrived.answer().accept(HttpResponse.of(200, text.getBytes(StandardCharsets.UTF_8)));
          }
        });
    String body = new String(arrived.body(), StandardCharsets.UTF_8);
    around
        .peers()
        .send(name, PeerMessageCodec.encode(new ForwardedHeartbeat(around.member(), number, body)));
    scheduler.after(
        RELAY_MICROS,
        () -> {
          if (relayed.remove(number) != null) {
            standIn(arrived);
          }
        });
  }

  /** A report that another controller passes on, to this one as the leader. */
  void take(ForwardedHeartbeat passed) {
    try {
      Heartbeat report = read(passed.report().getBytes(StandardCharsets.UTF_8));
      Leader here = around.leader().get();
      if (here == null) {
        return;
      }
      here.report(
          report,
          reply -> {
            // Nothing in the answer: the worker is to have none, neither of this controller nor in
            // its stead.
            byte[] body =
                reply.orders() == null
                    ? new byte[0]
                    : WorkerCodec.heartbeatResponse(reply.token(), reply.orders());
            if (PeerMessageCodec.canForward(body.length)) {
              around
                  .peers()
                  .send(
                      passed.member(),
                      PeerMessageCodec.encode(
                          new ForwardedResponse(
                              passed.number(), new String(body, StandardCharsets.UTF_8))));
            }
          });
    } catch (MalformedMessageException e) {
      logMalformed(e);
    }
  }

  /** The leader's answer to a report that was passed on. */
  void take(ForwardedResponse reply) {
    Consumer<String> open = relayed.remove(reply.number());
    if (open != null) {
      open.accept(reply.answer());
    }
  }

  private void redirect(Consumer<HttpResponse> answer) {
    String name = election.leader();
    boolean other = name != null && !name.equals(around.member());
    answer.accept(HttpResponse.of(421, WorkerCodec.redirect(other ? name : null)));
  }

  private void logMalformed(MalformedMessageException cause) {
    if (malformedLogged) {
      LOG.debug("malformed report: {}", cause.getMessage());
    } else {
      malformedLogged = true;
      LOG.info("malformed report: {} (further ones at level debug)", cause.getMessage());
    }
  }
}
