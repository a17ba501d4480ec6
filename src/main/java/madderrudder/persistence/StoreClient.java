package madderrudder.persistence;

import java.util.List;
import java.util.function.Consumer;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Item;
import madderrudder.protocol.StoreCodec.Page;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls to the state service, each ending in exactly one reply. What users cause is paced within
 * this node's share of the store's limits; holds, watches and leadership are few and never wait.
 */
public final class StoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
  private static final long CALL_MICROS = 1_500_000;
  private static final int PAGE = 500;
  private static final int BURST_SECONDS = 4;

  /** A store that has not answered for so long is not likely to answer the next request. */
  private static final long SILENT_MICROS = 4_500_000;

  /** Users are not held for longer than this: who would wait more is told at once to come back. */
  private static final long MOST_TURN_MICROS = 1_000_000;

  private final Scheduler scheduler;
  private final HttpCaller calls;
  private final String address;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private double wantedWrites;
  private double userWritesPerSecond;
  private long lastOkMicros = Long.MIN_VALUE / 2;

  /** What users have caused and is not answered yet. */
  private int openForUsers;

  /** Turns the body of a 200 into a value. */
  private interface Reader<T> {
    T read(byte[] body) throws MalformedMessageException;
  }

  public StoreClient(
      Scheduler scheduler,
      HttpCaller calls,
      String address,
      double requestsPerSecond,
      double writesPerSecond) {
    this.scheduler = scheduler;
    this.calls = calls;
    this.address = address;
    userWritesPerSecond = writesPerSecond;
    requests = new RateLimiter(scheduler, requestsPerSecond, requestsPerSecond);
    // Users come in bursts, which the store's own burst bears.
    writes = new RateLimiter(scheduler, writesPerSecond, BURST_SECONDS * writesPerSecond);
  }

  /** Whether the store has lately done what this node asked. */
  public boolean answersLately() {
    return scheduler.nowMicros() - lastOkMicros < SILENT_MICROS;
  }

  /** Users may have so many writes a second here, until this is said anew. */
  public void userWrites(double perSecond) {
    writes.rate(perSecond);
    userWritesPerSecond = perSecond;
  }

  /** How many writes a second users may have here. */
  public double userWritesPerSecond() {
    return userWritesPerSecond;
  }

  /** How many writes users have asked for here since the last look, refused ones too. */
  public double takeWanted() {
    double since = wantedWrites;
    wantedWrites = 0;
    return since;
  }

  /** A user's question: waits its turn, and is refused at once if that is too far off. */
  public void get(String key, Consumer<StoreReply<Item>> answer) {
    forUser(HttpRequest.get("/store/" + key), requests, 1, StoreCodec::readItem, answer);
  }

  /** What leadership depends on, never queued behind users. */
  public void getUrgent(String key, Consumer<StoreReply<Item>> answer) {
    call(HttpRequest.get("/store/" + key), CALL_MICROS, StoreCodec::readItem, answer);
  }

  /** One page of a range, after the key {@code since} (empty for the start). */
  public void range(String prefix, String since, Consumer<StoreReply<Page>> answer) {
    String target =
        "/store?under=" + prefix + (since.isEmpty() ? "" : "&since=" + since) + "&most=" + PAGE;
    call(HttpRequest.get(target), CALL_MICROS, StoreCodec::readRange, answer);
  }

  /** Waits for changes under the prefix after the revision. */
  public void follow(
      String prefix, long since, long waitMicros, Consumer<StoreReply<Page>> answer) {
    call(
        HttpRequest.get(
            "/follow?under=" + prefix + "&since=" + since + "&wait_ms=" + waitMicros / 1000),
        waitMicros + CALL_MICROS,
        StoreCodec::readEvents,
        answer);
  }

  /**
   * A user's transaction: waits its turn, behind no polls, and is refused at once if that is too
   * far off.
   */
  public void commit(
      List<Condition> conditions, List<Write> changes, Consumer<StoreReply<Long>> answer) {
    HttpRequest request = HttpRequest.post("/commit", StoreCodec.commit(conditions, changes));
    wantedWrites += changes.size();
    forUser(request, writes, changes.size(), StoreCodec::readRevision, answer);
  }

  /** Whether the keys have these versions; nothing is written. */
  public void compare(List<Condition> conditions, Consumer<StoreReply<Long>> answer) {
    forUser(
        HttpRequest.post("/commit", StoreCodec.commit(conditions, List.of())),
        requests,
        1,
        StoreCodec::readRevision,
        answer);
  }

  /** A leader's transaction, never queued behind users; the caller batches and paces it. */
  public void commitUrgent(byte[] body, Consumer<StoreReply<Long>> answer) {
    call(HttpRequest.post("/commit", body), CALL_MICROS, StoreCodec::readRevision, answer);
  }

  public void grantLease(long lifeMicros, Consumer<StoreReply<Long>> answer) {
    call(
        HttpRequest.post("/holds", StoreCodec.leaseRequest(lifeMicros)),
        CALL_MICROS,
        StoreCodec::readLease,
        answer);
  }

  public void renewLease(long lease, Consumer<StoreReply<Boolean>> answer) {
    call(
        HttpRequest.post("/holds/" + lease + "/extend", new byte[] {'{', '}'}),
        CALL_MICROS / 2,
        body -> true,
        answer);
  }

  public void revokeLease(long lease) {
    call(HttpRequest.delete("/holds/" + lease), CALL_MICROS, body -> true, reply -> {});
  }

  /**
   * Users are refused at once when their turn is too far off; also while the store is silent, but
   * for one who finds out whether it still is. Held for a time-out each, and those behind them for
   * two, their questions once went unanswered.
   */
  private <T> void forUser(
      HttpRequest request,
      RateLimiter pace,
      int cost,
      Reader<T> reader,
      Consumer<StoreReply<T>> answer) {
    boolean refused =
        (openForUsers > 0 && !answersLately())
            || !pace.runWithin(
                cost,
                MOST_TURN_MICROS,
                () -> {
                  openForUsers++;
                  call(
                      request,
                      CALL_MICROS,
                      reader,
                      reply -> {
                        openForUsers--;
                        answer.accept(reply);
                      });
                });
    if (refused) {
      answer.accept(StoreReply.of(Outcome.REFUSED));
    }
  }

  private <T> void call(
      HttpRequest request, long timeoutMicros, Reader<T> reader, Consumer<StoreReply<T>> answer) {
    calls.call(
        address,
        request,
        timeoutMicros,
        response -> answer.accept(reply(request, response, reader)));
  }

  private <T> StoreReply<T> reply(HttpRequest request, HttpResponse response, Reader<T> reader) {
    try {
      switch (response.status()) {
        case 200 -> {
          T value = reader.read(response.body());
          lastOkMicros = scheduler.nowMicros();
          return StoreReply.ok(value);
        }
        case 404, 410 -> {
          lastOkMicros = scheduler.nowMicros();
          return StoreReply.of(Outcome.GONE);
        }
        case 409 -> {
          lastOkMicros = scheduler.nowMicros();
          return new StoreReply<>(Outcome.CONFLICT, null, StoreCodec.readFailed(response.body()));
        }
        case 400 -> {
          LOG.info(
              "store refused {} as malformed: {}",
              request.target(),
              new String(response.body(), java.nio.charset.StandardCharsets.UTF_8));
          return StoreReply.of(Outcome.GONE);
        }
        case 429, 503, HttpResponse.NOT_SENT -> {
          LOG.debug("store refused {}: {}", request.target(), response.status());
          return StoreReply.of(Outcome.REFUSED);
        }
        default -> {
          LOG.debug("store left {} open: {}", request.target(), response.status());
          return StoreReply.of(Outcome.UNKNOWN);
        }
      }
    } catch (MalformedMessageException e) {
      LOG.info("store answered {} unreadably: {}", request.target(), e.getMessage());
      return StoreReply.of(Outcome.UNKNOWN);
    }
  }
}
