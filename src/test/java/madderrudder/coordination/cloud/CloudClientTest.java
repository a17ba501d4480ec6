package madderrudder.coordination.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against pages of the machine list that are skipped or requested twice, and against calls
 * that wait without a result when the queue of calls is full.
 */
class CloudClientTest {
  private final List<HttpRequest> sent = new ArrayList<>();
  private CloudClient cloud;

  @BeforeEach
  void createClient() {
    cloud =
        new CloudClient(
            // No test runs its timers, so that a queued call is never sent.
            new ManualScheduler(),
            (address, request, timeoutMicros, onResponse) -> {
              sent.add(request);
              onResponse.accept(HttpResponse.of(200, new byte[] {'{', '}'}));
            },
            "cloud:80",
            10);
  }

  @Test
  void firstListPageIsRequestedWithoutSince() {
    cloud.list("", page -> {});
    assertEquals("/machines?most=500", sent.get(0).target());
  }

  @Test
  void nextListPageIsRequestedSinceTheGivenMachine() {
    cloud.list("m-000230", page -> {});
    assertEquals("/machines?most=500&since=m-000230", sent.get(0).target());
  }

  @Test
  void callWithAFullQueueIsUnknownAtOnce() {
    List<DeleteResult> results = new ArrayList<>();
    int calls = 0;
    while (!results.contains(DeleteResult.UNKNOWN)) {
      cloud.delete(List.of("m-1"), results::add);
      assertTrue(++calls < 1_000, "the queue did not fill up");
    }
    assertEquals(sent.size(), results.size() - 1);
  }
}
