package madderrudder.service;

import java.util.function.Consumer;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/**
 * Routes each request to its endpoint by path and method. The status is 404 for an unknown path and
 * 405 for a method that the path does not support. Confined to the event loop thread.
 */
final class RequestRouter implements HttpHandler {
  /** The path of the history of task runs, up to the run number. */
  static final String HISTORY_PREFIX = "/history/";

  private static final String HEALTH_PATH = "/healthz";
  private static final String METRICS_PATH = "/metrics";
  private static final String HEARTBEAT_PATH = "/hello";
  private static final String JOBS_PATH = "/v1/jobs";
  private static final String JOB_PREFIX = JOBS_PATH + "/";
  private static final String CANCEL_SUFFIX = "/withdraw";

  private final DiagnosticsEndpoint diagnosticsEndpoint;
  private final HeartbeatEndpoint heartbeatEndpoint;
  private final JobEndpoint jobEndpoint;

  RequestRouter(
      DiagnosticsEndpoint diagnosticsEndpoint,
      HeartbeatEndpoint heartbeatEndpoint,
      JobEndpoint jobEndpoint) {
    this.diagnosticsEndpoint = diagnosticsEndpoint;
    this.heartbeatEndpoint = heartbeatEndpoint;
    this.jobEndpoint = jobEndpoint;
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> callback) {
    String path = request.path();
    if (path.equals(HEALTH_PATH)) {
      requireGet(request, callback, () -> callback.accept(diagnosticsEndpoint.health()));
    } else if (path.equals(METRICS_PATH)) {
      requireGet(request, callback, () -> callback.accept(diagnosticsEndpoint.metrics()));
    } else if (path.startsWith(HISTORY_PREFIX)) {
      String afterRun = path.substring(HISTORY_PREFIX.length());
      requireGet(request, callback, () -> callback.accept(diagnosticsEndpoint.history(afterRun)));
    } else if (path.equals(HEARTBEAT_PATH)) {
      requirePost(request, callback, () -> heartbeatEndpoint.handle(request.body(), callback));
    } else if (path.equals(JOBS_PATH)) {
      requirePost(request, callback, () -> jobEndpoint.submit(request.body(), callback));
    } else if (path.startsWith(JOB_PREFIX) && path.endsWith(CANCEL_SUFFIX)) {
      String id = path.substring(JOB_PREFIX.length(), path.length() - CANCEL_SUFFIX.length());
      requirePost(request, callback, () -> jobEndpoint.cancel(id, callback));
    } else if (path.startsWith(JOB_PREFIX)) {
      requireGet(
          request,
          callback,
          () -> jobEndpoint.status(path.substring(JOB_PREFIX.length()), callback));
    } else {
      callback.accept(Responses.error(404, "no such path"));
    }
  }

  private static void requireGet(
      HttpRequest request, Consumer<HttpResponse> callback, Runnable action) {
    requireMethod("GET", request, callback, action);
  }

  private static void requirePost(
      HttpRequest request, Consumer<HttpResponse> callback, Runnable action) {
    requireMethod("POST", request, callback, action);
  }

  private static void requireMethod(
      String method, HttpRequest request, Consumer<HttpResponse> callback, Runnable action) {
    if (request.method().equals(method)) {
      action.run();
    } else {
      callback.accept(Responses.error(405, "only " + method + " here"));
    }
  }
}
