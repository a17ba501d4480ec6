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

/**
 * Guards against lost or repeated runs when a client collects the history: the leader answers in
 * several responses, a follower refuses, and a new leader numbers its runs from 1.
 */
class HistoryClientTest {
  private final List<EndedRun> runs = new ArrayList<>();
  private HttpServer follower;
  private HttpServer leader;

  /** The history of the current leader; replaced to simulate a failover. */
  private volatile RunHistory leaderHistory = history(41, 700);

  @BeforeEach
  void startControllers() throws IOException {
    follower = startServer(HistoryClientTest::refuse);
    leader = startServer(this::serveHistory);
  }

  @AfterEach
  void stopControllers() {
    follower.stop(0);
    leader.stop(0);
  }

  private interface Handler {
    void handle(HttpExchange exchange) throws IOException;
  }

  private static HttpServer startServer(Handler handler) throws IOException {
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

  /** Answers as a follower does. */
  private static void refuse(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(503, -1);
  }

  private void serveHistory(HttpExchange exchange) throws IOException {
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
    return client(HistoryClient.UNKNOWN_TERM, after);
  }

  private HistoryClient client(long term, long after) {
    return new HistoryClient(List.of(address(follower), address(leader)), term, after);
  }

  private static URI address(HttpServer server) {
    return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
  }

  private int collect(HistoryClient client) throws Exception {
    return client.collect((ended, oracleMicros) -> runs.add(ended));
  }

  /** Collects until there are no new runs; 600 runs take several responses. */
  private void collectAll(HistoryClient client) throws Exception {
    int collected;
    do {
      collected = collect(client);
    } while (collected > 0);
  }

  @Test
  void collectsOnlyRunsAfterTheGivenNumberFromTheLeader() throws Exception {
    HistoryClient client = client(100);
    collectAll(client);
    assertEquals(600, runs.size());
    assertEquals(700, client.lastRunNumber());
  }

  @Test
  void collectsAllRunsOfANewLeader() throws Exception {
    HistoryClient client = client(100);
    collectAll(client);
    leaderHistory = history(42, 5);
    assertEquals(5, collect(client));
    assertEquals(5, client.lastRunNumber());
  }

  /** The number was counted by an earlier leader: none of the new leader's runs was collected. */
  @Test
  void anotherClientContinuesWithAllRunsOfANewLeader() throws Exception {
    HistoryClient earlier = client(0);
    collectAll(earlier);
    runs.clear();
    leaderHistory = history(42, 900);
    HistoryClient later = client(earlier.leaderTerm(), earlier.lastRunNumber());
    collectAll(later);
    assertEquals(900, runs.size());
    assertEquals(42, later.leaderTerm());
  }

  @Test
  void anotherClientContinuesAfterTheLastRunOfTheSameLeader() throws Exception {
    HistoryClient earlier = client(0);
    collectAll(earlier);
    runs.clear();
    leaderHistory = history(41, 900);
    collectAll(client(earlier.leaderTerm(), earlier.lastRunNumber()));
    assertEquals(200, runs.size());
  }

  @Test
  void countsRunsThatTheLeaderDroppedBeforeTheyWereCollected() throws Exception {
    HistoryClient client = client(100);
    collectAll(client);
    leaderHistory = history(42, 5);
    collect(client);
    leaderHistory = history(42, 9_000);
    collect(client);
    assertEquals(4_995, client.missedRuns());
  }

  @Test
  void failsWithTheErrorOfEachControllerWhenNoneLeads() {
    HistoryClient unreachable =
        new HistoryClient(List.of(URI.create("http://127.0.0.1:1")), HistoryClient.UNKNOWN_TERM, 0);
    IOException failure = assertThrows(IOException.class, () -> collect(unreachable));
    assertTrue(
        failure.getMessage().startsWith("no controller answers as the leader: http://127.0.0.1:1"),
        failure.getMessage());
  }
}
