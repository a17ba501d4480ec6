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
 * Guards against checks of live jobs that exhaust the rate limit of the store, that wait for an
 * unresponsive store, or whose answer is older than the check. A controller makes these checks
 * before it answers a user.
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

  private void check(int from, int to) {
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
  void checksDuringRequestAreBatched() {
    check(0, 1);
    check(1, 101);
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
   * Guards against checks that wait behind a request that times out, and then for a timeout of
   * their own: users gave up before they were answered.
   */
  @Test
  void checksAreNotQueuedBehindUnresponsiveStore() {
    check(0, 3);
    scheduler.runUntil(6_000_000, () -> {});
    check(3, 5);
    assertEquals(List.of(Answer.UNKNOWN, Answer.UNKNOWN), answers);
    pendingResponses.remove(0).accept(HttpResponse.noResponse());
    assertEquals(5, answers.stream().filter(Answer.UNKNOWN::equals).count());
    assertEquals(1, requests.size());
  }

  /**
   * Guards against outdated answers: a check that is made while a request is in flight waits for
   * the next request.
   */
  @Test
  void checkIsNotAnsweredByEarlierRequest() {
    check(0, 1);
    check(0, 1);
    respond(200, "{\"logline\":9}");
    assertEquals(1, answers.size());
    respond(409, "{\"failed\":[\"l/req-0\"],\"logline\":10}");
    assertEquals(List.of(Answer.LIVE, Answer.CHANGED), answers);
  }
}
