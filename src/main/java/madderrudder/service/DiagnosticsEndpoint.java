package madderrudder.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.metrics.Metrics;
import madderrudder.protocol.Json;
import madderrudder.transport.HttpResponse;

/**
 * Serves the health check, the metrics and the history of task runs. Confined to the event loop
 * thread.
 */
final class DiagnosticsEndpoint {
  private final String member;
  private final LeaderElection election;
  private final LocalLeader localLeader;
  private final HeartbeatEndpoint heartbeatEndpoint;
  private final HealthCheck healthCheck;
  private final Metrics metrics;

  DiagnosticsEndpoint(
      String member,
      LeaderElection election,
      LocalLeader localLeader,
      HeartbeatEndpoint heartbeatEndpoint,
      HealthCheck healthCheck,
      Metrics metrics) {
    this.member = member;
    this.election = election;
    this.localLeader = localLeader;
    this.heartbeatEndpoint = heartbeatEndpoint;
    this.healthCheck = healthCheck;
    this.metrics = metrics;
  }

  /** Status 200 if users should be sent to this controller, 503 otherwise. */
  HttpResponse health() {
    return healthCheck.isHealthy()
        ? HttpResponse.of(200, Json.object(out -> out.writeBooleanField("ok", true)))
        : Responses.unavailable("not ready");
  }

  /** This controller's metrics, with the metrics of the leader if this controller leads. */
  HttpResponse metrics() {
    return HttpResponse.of(200, Json.object(this::writeMetrics));
  }

  private void writeMetrics(JsonGenerator out) throws IOException {
    out.writeStringField("member", member);
    out.writeStringField("leader", election.leader().orElse(""));
    out.writeNumberField("term", election.highestTerm());
    localLeader.writeMetrics(out);
    heartbeatEndpoint.writeCounters(out);
    metrics.write(out);
  }

  /**
   * The ended task runs after the run with the given number. Only the leader keeps them: another
   * controller, and a leader that has not read the stored state yet, responds with 503 and the
   * leader's name.
   *
   * @param afterRun the run number as text from the request path; 404 if it is not a number
   */
  HttpResponse history(String afterRun) {
    if (!localLeader.isReady()) {
      return Responses.unavailable(
          "only the leader knows, " + election.leader().orElse("which is not known"));
    }
    long runNumber;
    try {
      runNumber = Long.parseLong(afterRun);
    } catch (NumberFormatException e) {
      return Responses.error(404, "expected " + RequestRouter.HISTORY_PREFIX + "NUMBER");
    }
    return HttpResponse.of(200, Json.object(out -> localLeader.writeHistory(out, runNumber)));
  }
}
