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
 * Collects the history of runs from the controllers. Only the leader has it; the controllers are
 * asked in their order until one answers. Not safe for use by several threads.
 */
public final class HistoryClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final List<URI> controllers;

  /** The term of the leader that answered last, or -1. */
  private long term = -1;

  private long next;
  private long missed;

  /**
   * A client that has collected nothing.
   *
   * @param controllers the users' addresses of the controllers
   * @param after the number of the last run of the present leader that is known already, or 0
   */
  public HistoryClient(List<URI> controllers, long after) {
    this.controllers = controllers;
    next = after;
  }

  /**
   * Passes on the next runs that have ended since the last call. A new leader's numbers begin anew,
   * so all that it has is taken then.
   *
   * @return how many runs were passed on; 0 when there is nothing new
   * @throws IOException if no controller answers as the leader, if its answer is malformed, or if
   *     the consumer fails
   * @throws InterruptedException if the thread is interrupted while it waits for an answer
   */
  public int collect(HistoryReader.RunConsumer consumer) throws IOException, InterruptedException {
    try {
      JsonFields answer = request(next);
      if (term >= 0 && answer.count("term") != term) {
        next = 0;
        answer = request(0);
      }
      term = answer.count("term");
      missed += answer.count("missed");
      List<JsonFields> runs = answer.objects("runs");
      for (JsonFields run : runs) {
        consumer.accept(RunHistoryCodec.read(run), 0);
      }
      next = answer.count("next");
      return runs.size();
    } catch (MalformedMessageException e) {
      throw new IOException("a controller's answer is malformed: " + e.getMessage(), e);
    }
  }

  private JsonFields request(long after)
      throws IOException, InterruptedException, MalformedMessageException {
    StringBuilder failures = new StringBuilder("no controller answers as the leader:");
    for (URI controller : controllers) {
      HttpRequest request =
          HttpRequest.newBuilder(controller.resolve("/history/" + after)).timeout(TIMEOUT).build();
      try {
        HttpResponse<byte[]> response =
            client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() == 200) {
          return Json.readObject(response.body());
        }
        failures.append(' ').append(controller).append(" says ").append(response.statusCode());
      } catch (IOException e) {
        failures.append(' ').append(controller).append(": ").append(e);
      }
      failures.append(';');
    }
    throw new IOException(failures.substring(0, failures.length() - 1));
  }

  /** How many runs the leaders had forgotten before they were collected. */
  public long missed() {
    return missed;
  }

  /** The number of the last run that was collected, for the constructor of the next client. */
  public long next() {
    return next;
  }
}
