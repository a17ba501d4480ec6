package madderrudder.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.metrics.Metrics;
import madderrudder.protocol.Json;
import madderrudder.transport.HttpResponse;

/** Health, metrics and the history of runs. Confined to the event loop thread. */
final class DiagnosticsEndpoint {
  private final String member;
  private final LeaderElection election;
  private final LocalLeader leader;
  private final HeartbeatEndpoint heartbeats;
  private final HealthCheck health;
  private final Metrics metrics;

  DiagnosticsEndpoint(
      String member,
      LeaderElection election,
      LocalLeader leader,
      HeartbeatEndpoint heartbeats,
      HealthCheck health,
      Metrics metrics) {
    this.member = member;
    this.election = election;
    this.leader = leader;
    this.heartbeats = heartbeats;
    this.health = health;
    this.metrics = metrics;
  }

  /** 200 if users should be sent here, 503 otherwise. */
  HttpResponse health() {
    return health.healthy()
        ? HttpResponse.of(200, Json.object(out -> out.writeBooleanField("ok", true)))
        : Responses.unavailable("not ready");
  }

  /** This controller's metrics, and the leader's state if it leads. */
  HttpResponse metrics() {
    return HttpResponse.of(200, Json.object(this::writeMetrics));
  }

  private void writeMetrics(JsonGenerator out) throws IOException {
    out.writeStringField("member", member);
    out.writeStringField("leader", election.leader().orElse(""));
    out.writeNumberField("term", election.highestTerm());
    leader.writeState(out);
    heartbeats.writeCounters(out);
    metrics.write(out);
  }

  /**
   * The finished runs after a number, which only the leader knows.
   *
   * @param afterNumber the number as the request's path has it; 404 if it is none
   */
  HttpResponse history(String afterNumber) {
    if (!leader.isReady()) {
      return Responses.unavailable(
          "only the leader knows, " + election.leader().orElse("which is not known"));
    }
    long number;
    try {
      number = Long.parseLong(afterNumber);
    } catch (NumberFormatException e) {
      return Responses.error(404, "expected " + RequestRouter.HISTORY + "NUMBER");
    }
    return HttpResponse.of(200, Json.object(out -> leader.writeHistory(out, number)));
  }
}
