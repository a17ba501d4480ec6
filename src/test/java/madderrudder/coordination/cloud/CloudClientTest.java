package madderrudder.coordination.cloud;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the client sends, and what it does when it may send no more. */
class CloudClientTest {
  private final List<HttpRequest> sent = new ArrayList<>();
  private CloudClient cloud;

  /** A clock that stands still: whatever waits for its turn waits for ever. */
  private static final class StoppedClock implements Scheduler {
    @Override
    public long nowMicros() {
      return 0;
    }

    @Override
    public long wallMicros() {
      return 0;
    }

    @Override
    public Timer after(long delayMicros, Runnable action) {
      return () -> {};
    }

    @Override
    public void execute(Runnable action) {
      action.run();
    }
  }

  @BeforeEach
  void connect() {
    cloud =
        new CloudClient(
            new StoppedClock(),
            (address, request, timeoutMicros, answer) -> {
              sent.add(request);
              answer.accept(HttpResponse.of(200, new byte[] {'{', '}'}));
            },
            "cloud:80",
            10);
  }

  @Test
  void firstListPageIsAskedForWithoutAStart() {
    cloud.list("", page -> {});
    assertEquals("/machines?most=500", sent.get(0).target());
  }

  @Test
  void nextListPageBeginsAfterTheGivenMachine() {
    cloud.list("m-000230", page -> {});
    assertEquals("/machines?most=500&since=m-000230", sent.get(0).target());
  }

  @Test
  void callBeyondAFullQueueIsUnknownAtOnce() {
    List<DeleteResult> results = new ArrayList<>();
    int calls = 0;
    while (!results.contains(DeleteResult.UNKNOWN)) {
      cloud.delete(List.of("m-1"), results::add);
      assertTrue(++calls < 1_000, "the queue never filled");
    }
    assertEquals(sent.size(), results.size() - 1);
  }
}
