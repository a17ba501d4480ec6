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
  /** The term to give when it is not known under which leader a run number was counted. */
  public static final long UNKNOWN_TERM = -1;

  /** Limits each connection attempt and each request. */
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(REQUEST_TIMEOUT).build();
  private final List<URI> controllers;

  /** The term of the leader that counted {@link #lastRunNumber}, or {@link #UNKNOWN_TERM}. */
  private long leaderTerm;

  private long lastRunNumber;
  private long missedRuns;

  /**
   * Creates a client that has collected nothing.
   *
   * @param controllers the base addresses of the controllers' HTTP interface for users
   * @param term the term of the leader that counted {@code after}. If another leader answers, the
   *     collection starts at its first run. With {@link #UNKNOWN_TERM}, the current leader is
   *     assumed to have counted it
   * @param after the number of the last run that was collected earlier, or 0
   */
  public HistoryClient(List<URI> controllers, long term, long after) {
    this.controllers = controllers;
    leaderTerm = term;
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
      if (leaderTerm != UNKNOWN_TERM && response.count("term") != leaderTerm) {
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
   * collection. Each leader counts its runs from 1, so the number goes with {@link #leaderTerm}.
   */
  public long lastRunNumber() {
    return lastRunNumber;
  }

  /** Returns the term of the leader that answered last; the given term before the first answer. */
  public long leaderTerm() {
    return leaderTerm;
  }
}
