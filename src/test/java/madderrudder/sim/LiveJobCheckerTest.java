package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import madderrudder.persistence.LiveJobChecker;
import madderrudder.persistence.LiveJobChecker.Answer;
import madderrudder.persistence.StoreClient;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The check whether jobs are still live, which a controller makes before it answers a user. Queries
 * are batched into store requests, and the answer to a query comes from a request sent after the
 * query.
 */
class LiveJobCheckerTest {
  private final List<HttpRequest> requests = new ArrayList<>();
  private final List<Consumer<HttpResponse>> pendingResponses = new ArrayList<>();
  private final List<Answer> answers = new ArrayList<>();
  private final SimScheduler scheduler = new SimScheduler(1);
  private final StoreClient store =
      new StoreClient(
          scheduler.new HostClock(1, 0),
          (address, request, timeout, answer) -> {
            requests.add(request);
            pendingResponses.add(answer);
          },
          "10.0.0.1:1",
          100,
          10);
  private final LiveJobChecker checker = new LiveJobChecker(store, 64);

  @BeforeEach
  void makeStoreReachable() {
    store.getUnthrottled("helm", reply -> {});
    respond(404, "{\"logline\":1}");
    requests.clear();
  }

  private void ask(int from, int to) {
    IntStream.range(from, to).forEach(i -> checker.check("req-" + i, i + 1, answers::add));
  }

  private void respond(int status, String body) {
    pendingResponses
        .remove(0)
        .accept(HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Guards against one store request per poll, which exhausted the store's rate limit and delayed
   * submissions.
   */
  @Test
  void questionsDuringRequestAreBatched() {
    ask(0, 1);
    ask(1, 101);
    assertEquals(1, requests.size());
    respond(200, "{\"logline\":9}");
    assertEquals(List.of(Answer.LIVE), answers);
    assertEquals(2, requests.size());
    respond(409, "{\"failed\":[\"l/req-3\",\"l/req-5\"],\"logline\":9}");
    assertEquals(63, answers.stream().filter(Answer.LIVE::equals).count());
    assertEquals(Answer.CHANGED, answers.get(3));
    assertEquals(Answer.CHANGED, answers.get(5));
    respond(503, "{}");
    assertEquals(36, answers.stream().filter(Answer.UNKNOWN::equals).count());
    assertEquals(3, requests.size());
    assertEquals(101, answers.size());
  }

  /**
   * Guards against queries that wait behind a request that times out, and then for a timeout of
   * their own: users gave up before they were answered.
   */
  @Test
  void questionsAreNotQueuedBehindUnresponsiveStore() {
    ask(0, 3);
    scheduler.runUntil(6_000_000, () -> {});
    ask(3, 5);
    assertEquals(List.of(Answer.UNKNOWN, Answer.UNKNOWN), answers);
    pendingResponses.remove(0).accept(HttpResponse.noResponse());
    assertEquals(5, answers.stream().filter(Answer.UNKNOWN::equals).count());
    assertEquals(1, requests.size());
  }

  /**
   * Guards against outdated answers: a query that arrives while a request is in flight waits for
   * the next request.
   */
  @Test
  void questionIsNotAnsweredByEarlierRequest() {
    ask(0, 1);
    ask(0, 1);
    respond(200, "{\"logline\":9}");
    assertEquals(1, answers.size());
    respond(409, "{\"failed\":[\"l/req-0\"],\"logline\":10}");
    assertEquals(List.of(Answer.LIVE, Answer.CHANGED), answers);
  }
}
