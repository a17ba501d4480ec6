package madderrudder.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import madderrudder.estimates.TaskProfile;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory;
import madderrudder.metrics.RunHistory.EndedRun;
import madderrudder.protocol.Json;
import madderrudder.protocol.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Collecting the history from a follower and a leader. */
class HistoryClientTest {
  private final List<EndedRun> runs = new ArrayList<>();
  private HttpServer follower;
  private HttpServer leader;

  /** The history of whoever leads. */
  private volatile RunHistory leaderHistory = history(41, 700);

  @BeforeEach
  void startControllers() throws IOException {
    follower = start(HistoryClientTest::refuse);
    leader = start(this::answer);
  }

  @AfterEach
  void stopControllers() {
    follower.stop(0);
    leader.stop(0);
  }

  private interface Handler {
    void handle(HttpExchange exchange) throws IOException;
  }

  private static HttpServer start(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          handler.handle(exchange);
          exchange.close();
        });
    server.start();
    return server;
  }

  /** As a controller that does not lead. */
  private static void refuse(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(503, -1);
  }

  private void answer(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    long after = Long.parseLong(path.substring("/history/".length()));
    byte[] body = Json.object(out -> leaderHistory.write(out, after));
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
  }

  private static RunHistory history(long term, int runs) {
    RunHistory history = new RunHistory(term);
    for (int i = 1; i <= runs; i++) {
      TaskProfile profile = new TaskProfile("j" + i, "c", "t", "i", Resources.NONE);
      history.add(i, new TaskRun(profile, 0, i, "", "", 1, 5_000, true));
    }
    return history;
  }

  private HistoryClient client(long after) {
    return new HistoryClient(List.of(uri(follower), uri(leader)), after);
  }

  private static URI uri(HttpServer server) {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  private int collect(HistoryClient client) throws Exception {
    return client.collect((ended, oracleMicros) -> runs.add(ended));
  }

  /** Several answers are needed for so many runs. */
  private void collectAll(HistoryClient client) throws Exception {
    int collected;
    do {
      collected = collect(client);
    } while (collected > 0);
  }

  @Test
  void collectsFromTheLeaderWhatIsNotKnownYet() throws Exception {
    HistoryClient client = client(100);
    collectAll(client);
    assertEquals(600, runs.size());
    assertEquals(700, client.next());
  }

  @Test
  void collectsAllRunsOfANewLeader() throws Exception {
    HistoryClient client = client(100);
    collectAll(client);
    leaderHistory = history(42, 5);
    assertEquals(5, collect(client));
    assertEquals(5, client.next());
  }

  @Test
  void countsTheRunsThatTheLeaderHasForgotten() throws Exception {
    HistoryClient client = client(100);
    collectAll(client);
    leaderHistory = history(42, 5);
    collect(client);
    leaderHistory = history(42, 9_000);
    collect(client);
    assertEquals(4_995, client.missed());
  }

  @Test
  void failsWithWhatEachControllerSaidIfNoneLeads() {
    HistoryClient nobody = new HistoryClient(List.of(URI.create("http://127.0.0.1:1")), 0);
    IOException failure = assertThrows(IOException.class, () -> collect(nobody));
    assertTrue(
        failure.getMessage().startsWith("no controller answers as the leader: http://127.0.0.1:1"),
        failure.getMessage());
  }
}
