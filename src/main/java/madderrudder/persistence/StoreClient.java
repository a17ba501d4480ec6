package madderrudder.persistence;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.KeyValue;
import madderrudder.protocol.StoreCodec.Page;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service, the consensus-backed key-value store. Each call ends in exactly one
 * reply, passed to its callback. Requests caused by users are limited to this node's share of the
 * store's rates; those for leases, watches and leadership are few and never wait.
 *
 * <p>Confined to the event loop thread, where the callbacks run too.
 */
public final class StoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
  private static final long TIMEOUT_MICROS = 1_500_000;
  private static final int RANGE_LIMIT = 500;
  private static final int BURST_SECONDS = 4;

  /** A store that has not answered for this long is not likely to answer the next request. */
  private static final long SILENT_MICROS = 4_500_000;

  /** The longest a user's request waits for its turn; one that would wait longer is refused. */
  private static final long MAX_WAIT_MICROS = 1_000_000;

  private final Scheduler scheduler;
  private final HttpCaller calls;
  private final String address;
  private final RateLimiter requests;
  private final RateLimiter writes;
  private double requestedUserWrites;
  private double userWritesPerSecond;
  private long lastOkMicros = Long.MIN_VALUE / 2;

  /** Requests caused by users that were sent and are not answered. */
  private int openForUsers;

  /** Decodes the body of a response with status 200. */
  private interface Decoder<T> {
    T decode(byte[] body) throws MalformedMessageException;
  }

  /**
   * Creates a client.
   *
   * @param address host and port of the state service
   * @param requestsPerSecond this node's share of the request rate, for users
   * @param writesPerSecond this node's share of the write rate, for users, until {@link
   *     #setUserWritesPerSecond} changes it
   */
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
    // Users come in bursts, which the store's own burst allows.
    writes = new RateLimiter(scheduler, writesPerSecond, BURST_SECONDS * writesPerSecond);
  }

  /** Whether the store has answered this node within the last seconds. */
  public boolean isResponsive() {
    return scheduler.nowMicros() - lastOkMicros < SILENT_MICROS;
  }

  /** Sets the rate of users' writes on this node, in writes a second. */
  public void setUserWritesPerSecond(double perSecond) {
    writes.setRate(perSecond);
    userWritesPerSecond = perSecond;
  }

  /** The rate of users' writes on this node, in writes a second. */
  public double userWritesPerSecond() {
    return userWritesPerSecond;
  }

  /** Returns the writes users asked for since the last call of this method, refused ones too. */
  public double takeRequestedUserWrites() {
    double result = requestedUserWrites;
    requestedUserWrites = 0;
    return result;
  }

  /**
   * Reads a key for a user: waits its turn, and is refused at once if that would take too long. The
   * outcome is {@link Outcome#GONE} if the key does not exist.
   */
  public void get(String key, Consumer<StoreReply<KeyValue>> answer) {
    forUser(HttpRequest.get("/store/" + key), requests, 1, StoreCodec::readItem, answer);
  }

  /** Reads a key for the leadership or the leader, never queued behind users. */
  public void getUrgent(String key, Consumer<StoreReply<KeyValue>> answer) {
    call(HttpRequest.get("/store/" + key), TIMEOUT_MICROS, StoreCodec::readItem, answer);
  }

  /**
   * Reads one page of the keys with a prefix.
   *
   * @param since the key after which the page starts; empty for the start of the range
   */
  public void range(String prefix, String since, Consumer<StoreReply<Page>> answer) {
    String target =
        "/store?under="
            + prefix
            + (since.isEmpty() ? "" : "&since=" + since)
            + "&most="
            + RANGE_LIMIT;
    call(HttpRequest.get(target), TIMEOUT_MICROS, StoreCodec::readRange, answer);
  }

  /**
   * Watches the keys with a prefix by one long poll. The outcome is {@link Outcome#GONE} if the
   * store no longer keeps the changes since the revision.
   *
   * @param since the revision after which changes are wanted
   * @param waitMicros how long the store waits for a change before it answers without any
   */
  public void watch(String prefix, long since, long waitMicros, Consumer<StoreReply<Page>> answer) {
    call(
        HttpRequest.get(
            "/follow?under=" + prefix + "&since=" + since + "&wait_ms=" + waitMicros / 1000),
        waitMicros + TIMEOUT_MICROS,
        StoreCodec::readEvents,
        answer);
  }

  /**
   * Commits a user's transaction: it waits its turn behind other transactions, but not behind
   * reads, and is refused at once if that would take too long.
   *
   * @param answer receives the store's revision
   */
  public void commit(
      List<Condition> conditions, List<Write> changes, Consumer<StoreReply<Long>> answer) {
    HttpRequest request = HttpRequest.post("/commit", StoreCodec.commit(conditions, changes));
    requestedUserWrites += changes.size();
    forUser(request, writes, changes.size(), StoreCodec::readRevision, answer);
  }

  /** Checks, for users, whether the keys have these versions; nothing is written. */
  public void compare(List<Condition> conditions, Consumer<StoreReply<Long>> answer) {
    forUser(
        HttpRequest.post("/commit", StoreCodec.commit(conditions, List.of())),
        requests,
        1,
        StoreCodec::readRevision,
        answer);
  }

  /**
   * Commits a leader's transaction, never queued behind users; the caller batches and paces it.
   *
   * @param body the encoded transaction
   * @param answer receives the store's revision
   */
  public void commitUrgent(byte[] body, Consumer<StoreReply<Long>> answer) {
    call(HttpRequest.post("/commit", body), TIMEOUT_MICROS, StoreCodec::readRevision, answer);
  }

  /**
   * Asks for a new lease.
   *
   * @param answer receives the lease's id
   */
  public void grantLease(long lifeMicros, Consumer<StoreReply<Long>> answer) {
    call(
        HttpRequest.post("/holds", StoreCodec.leaseRequest(lifeMicros)),
        TIMEOUT_MICROS,
        StoreCodec::readLease,
        answer);
  }

  /** Renews a lease; the outcome is {@link Outcome#GONE} if it has expired. */
  public void renewLease(long lease, Consumer<StoreReply<Boolean>> answer) {
    call(
        HttpRequest.post("/holds/" + lease + "/extend", new byte[] {'{', '}'}),
        TIMEOUT_MICROS / 2,
        body -> true,
        answer);
  }

  /** Gives a lease back, without waiting for the outcome. */
  public void revokeLease(long lease) {
    call(HttpRequest.delete("/holds/" + lease), TIMEOUT_MICROS, body -> true, reply -> {});
  }

  /**
   * Sends a user's request in its turn. It is refused at once if its turn is too far off, and while
   * the store does not answer, except for one that finds out whether that is still so. Such
   * requests once waited for a time-out each, and those behind them for two, and their users got no
   * answer.
   */
  private <T> void forUser(
      HttpRequest request,
      RateLimiter limiter,
      int cost,
      Decoder<T> decoder,
      Consumer<StoreReply<T>> answer) {
    boolean refused =
        (openForUsers > 0 && !isResponsive())
            || !limiter.runWithin(
                cost,
                MAX_WAIT_MICROS,
                () -> {
                  openForUsers++;
                  call(
                      request,
                      TIMEOUT_MICROS,
                      decoder,
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
      HttpRequest request, long timeoutMicros, Decoder<T> decoder, Consumer<StoreReply<T>> answer) {
    calls.call(
        address,
        request,
        timeoutMicros,
        response -> answer.accept(reply(request, response, decoder)));
  }

  private <T> StoreReply<T> reply(HttpRequest request, HttpResponse response, Decoder<T> decoder) {
    try {
      switch (response.status()) {
        case 200 -> {
          T value = decoder.decode(response.body());
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
              new String(response.body(), StandardCharsets.UTF_8));
          return StoreReply.of(Outcome.GONE);
        }
        case 429, 503, HttpResponse.NOT_SENT -> {
          LOG.debug("store refused {}: {}", request.target(), response.status());
          return StoreReply.of(Outcome.REFUSED);
        }
        default -> {
          LOG.debug("store did not answer {}: {}", request.target(), response.status());
          return StoreReply.of(Outcome.UNKNOWN);
        }
      }
    } catch (MalformedMessageException e) {
      LOG.info("answer of the store to {} is unreadable: {}", request.target(), e.getMessage());
      return StoreReply.of(Outcome.UNKNOWN);
    }
  }
}
