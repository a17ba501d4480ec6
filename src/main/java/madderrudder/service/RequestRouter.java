package madderrudder.service;

import java.util.function.Consumer;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/**
 * Routes each request to its endpoint by path and method: 404 for an unknown path, 405 for another
 * method. Confined to the event loop thread.
 */
final class RequestRouter implements HttpHandler {
  /** Followed by a number, the path of the history of runs. */
  static final String HISTORY = "/history/";

  private static final String HEALTH = "/healthz";
  private static final String METRICS = "/metrics";
  private static final String HEARTBEAT = "/hello";
  private static final String JOBS = "/v1/jobs";
  private static final String JOB = JOBS + "/";
  private static final String CANCEL_SUFFIX = "/withdraw";

  private final DiagnosticsEndpoint diagnostics;
  private final HeartbeatEndpoint heartbeats;
  private final JobEndpoint jobs;

  RequestRouter(DiagnosticsEndpoint diagnostics, HeartbeatEndpoint heartbeats, JobEndpoint jobs) {
    this.diagnostics = diagnostics;
    this.heartbeats = heartbeats;
    this.jobs = jobs;
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> answer) {
    String path = request.path();
    if (path.equals(HEALTH)) {
      get(request, answer, () -> answer.accept(diagnostics.health()));
    } else if (path.equals(METRICS)) {
      get(request, answer, () -> answer.accept(diagnostics.metrics()));
    } else if (path.startsWith(HISTORY)) {
      String afterNumber = path.substring(HISTORY.length());
      get(request, answer, () -> answer.accept(diagnostics.history(afterNumber)));
    } else if (path.equals(HEARTBEAT)) {
      post(request, answer, () -> heartbeats.handle(request.body(), answer));
    } else if (path.equals(JOBS)) {
      post(request, answer, () -> jobs.submit(request.body(), answer));
    } else if (path.startsWith(JOB) && path.endsWith(CANCEL_SUFFIX)) {
      String id = path.substring(JOB.length(), path.length() - CANCEL_SUFFIX.length());
      post(request, answer, () -> jobs.cancel(id, answer));
    } else if (path.startsWith(JOB)) {
      get(request, answer, () -> jobs.status(path.substring(JOB.length()), answer));
    } else {
      answer.accept(Responses.error(404, "no such path"));
    }
  }

  private static void get(HttpRequest request, Consumer<HttpResponse> answer, Runnable action) {
    only("GET", request, answer, action);
  }

  private static void post(HttpRequest request, Consumer<HttpResponse> answer, Runnable action) {
    only("POST", request, answer, action);
  }

  private static void only(
      String method, HttpRequest request, Consumer<HttpResponse> answer, Runnable action) {
    if (request.method().equals(method)) {
      action.run();
    } else {
      answer.accept(Responses.error(405, "only " + method + " here"));
    }
  }
}
