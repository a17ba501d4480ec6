package madderrudder.replay;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import madderrudder.metrics.RunHistoryCodec;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;

/**
 * Collects from controllers what has run. Only the leader knows; each is asked until one answers.
 */
public final class HistoryClient {
  private static final Duration PATIENCE = Duration.ofSeconds(5);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(PATIENCE).build();
  private final List<URI> controllers;
  private long term = -1;
  private long next;
  private long missed;

  /**
   * {@code after} is the number of the last run of the present leader that is known already, or 0.
   */
  public HistoryClient(List<URI> controllers, long after) {
    this.controllers = controllers;
    next = after;
  }

  /**
   * Passes on what has ended since the last call. A new leader's numbers begin anew, so all it has
   * is taken then.
   *
   * @return how many runs came; 0 when there is nothing new
   * @throws IOException if no controller answers as the leader, or what comes is malformed
   */
  public int collect(HistoryReader.Use use) throws IOException, InterruptedException {
    try {
      Fields answer = ask(next);
      long now = answer.count("term");
      if (term >= 0 && now != term) {
        next = 0;
        answer = ask(0);
        now = answer.count("term");
      }
      term = now;
      missed += answer.count("missed");
      List<Fields> runs = answer.objects("runs");
      for (Fields run : runs) {
        use.run(RunHistoryCodec.read(run), 0);
      }
      next = answer.count("next");
      return runs.size();
    } catch (MalformedMessageException e) {
      throw new IOException("a controller's answer is malformed: " + e.getMessage(), e);
    }
  }

  private Fields ask(long after)
      throws IOException, InterruptedException, MalformedMessageException {
    StringBuilder why = new StringBuilder("no controller answers as the leader:");
    for (URI controller : controllers) {
      HttpRequest request =
          HttpRequest.newBuilder(controller.resolve("/history/" + after)).timeout(PATIENCE).build();
      try {
        HttpResponse<byte[]> response =
            client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        if (response.statusCode() == 200) {
          return Json.readObject(response.body());
        }
        why.append(' ')
            .append(controller)
            .append(" says ")
            .append(response.statusCode())
            .append(';');
      } catch (IOException e) {
        why.append(' ').append(controller).append(": ").append(e).append(';');
      }
    }
    throw new IOException(why.substring(0, why.length() - 1));
  }

  /** How many runs the leader had forgotten before they were asked for. */
  public long missed() {
    return missed;
  }

  /** What to ask for next time. */
  public long next() {
    return next;
  }
}
