package madderrudder.replay;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import madderrudder.metrics.RunHistoryCodec;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;

/**
 * Collects the history of task runs from the controllers. Only the leader serves it, so each
 * request tries the controllers in their order until one answers. Not safe for use by several
 * threads.
 */
public final class HistoryClient {
  /** Limits each connection attempt and each request. */
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(REQUEST_TIMEOUT).build();
  private final List<URI> controllers;

  /** The term of the leader that answered last, or -1 before the first answer. */
  private long leaderTerm = -1;

  private long lastRunNumber;
  private long missedRuns;

  /**
   * Creates a client that has collected nothing.
   *
   * @param controllers the base addresses of the controllers' HTTP interface for users
   * @param after the number of the current leader's last run that was collected earlier, or 0
   */
  public HistoryClient(List<URI> controllers, long after) {
    this.controllers = controllers;
    lastRunNumber = after;
  }

  /**
   * Collects one response of runs that ended after the last collected run. A new leader numbers its
   * runs from 1, so a change of the term restarts the collection at the new leader's first run.
   *
   * @param consumer receives the runs in the order in which they ended
   * @return the number of collected runs; 0 when there are no new ones
   * @throws IOException if no controller answers as the leader, if its answer is malformed, or if
   *     the consumer fails
   * @throws InterruptedException if the thread is interrupted while it waits for an answer
   */
  public int collect(HistoryReader.RunConsumer consumer) throws IOException, InterruptedException {
    try {
      JsonFields response = requestRuns(lastRunNumber);
      if (leaderTerm >= 0 && response.count("term") != leaderTerm) {
        lastRunNumber = 0;
        response = requestRuns(0);
      }
      leaderTerm = response.count("term");
      missedRuns += response.count("missed");
      List<JsonFields> runs = response.objects("runs");
      for (JsonFields run : runs) {
        consumer.accept(RunHistoryCodec.read(run), 0);
      }
      lastRunNumber = response.count("next");
      return runs.size();
    } catch (MalformedMessageException e) {
      throw new IOException("malformed response to GET /history: " + e.getMessage(), e);
    }
  }

  private JsonFields requestRuns(long after)
      throws IOException, InterruptedException, MalformedMessageException {
    StringBuilder failures = new StringBuilder("no controller answers as the leader:");
    for (URI controller : controllers) {
      HttpRequest request =
          HttpRequest.newBuilder(controller.resolve("/history/" + after))
              .timeout(REQUEST_TIMEOUT)
              .build();
      try {
        HttpResponse<byte[]> response =
            client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() == 200) {
          return Json.readObject(response.body());
        }
        failures
            .append(' ')
            .append(controller)
            .append(" answered with status ")
            .append(response.statusCode());
      } catch (IOException e) {
        failures.append(' ').append(controller).append(": ").append(e);
      }
      failures.append(';');
    }
    throw new IOException(failures.substring(0, failures.length() - 1));
  }

  /** Returns how many runs the leaders dropped from their history before they were collected. */
  public long missedRuns() {
    return missedRuns;
  }

  /**
   * Returns the number of the last collected run, from which another client can continue the
   * collection.
   */
  public long lastRunNumber() {
    return lastRunNumber;
  }
}
