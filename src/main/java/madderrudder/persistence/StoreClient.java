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
 * Client of the store, a consensus-backed key-value store. Each call passes exactly one reply to
 * its callback. Requests on behalf of users are limited to this node's share of the store's rate
 * limits; requests for leases, watches and leadership are few and are not rate limited.
 *
 * <p>Confined to the event loop thread, where the callbacks run too.
 */
public final class StoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);
  private static final long REQUEST_TIMEOUT_MICROS = 1_500_000;
  private static final int RANGE_PAGE_SIZE = 500;

  /** The burst of user writes, as the seconds of the write rate that it holds. */
  private static final int USER_WRITE_BURST_SECONDS = 4;

  /**
   * The time without a processed request after which the store counts as unresponsive and the next
   * request is unlikely to be answered.
   */
  private static final long UNRESPONSIVE_AFTER_MICROS = 4_500_000;

  /** A user's request that the rate limit would delay for longer than this is refused. */
  private static final long MAX_USER_WAIT_MICROS = 1_000_000;

  private final Scheduler scheduler;
  private final HttpCaller http;
  private final String address;
  private final RateLimiter userRequestLimiter;
  private final RateLimiter userWriteLimiter;
  private double requestedUserWrites;
  private double userWritesPerSecond;

  /** The time of the latest response that shows that the store processed a request. */
  private long lastProcessedMicros = Long.MIN_VALUE / 2;

  /** The number of requests on behalf of users that are in flight. */
  private int userRequestsInFlight;

  /** Decodes the body of a response with status 200. */
  private interface Decoder<T> {
    T decode(byte[] body) throws MalformedMessageException;
  }

  /**
   * Creates a client.
   *
   * @param address host and port of the store
   * @param requestsPerSecond this node's share of the rate of users' requests
   * @param writesPerSecond this node's initial share of the rate of users' writes, see {@link
   *     #setUserWritesPerSecond}
   */
  public StoreClient(
      Scheduler scheduler,
      HttpCaller http,
      String address,
      double requestsPerSecond,
      double writesPerSecond) {
    this.scheduler = scheduler;
    this.http = http;
    this.address = address;
    userWritesPerSecond = writesPerSecond;
    userRequestLimiter = new RateLimiter(scheduler, requestsPerSecond, requestsPerSecond);
    // Users' writes arrive in bursts, which the burst of the store's own rate limit permits.
    userWriteLimiter =
        new RateLimiter(scheduler, writesPerSecond, USER_WRITE_BURST_SECONDS * writesPerSecond);
  }

  /** Returns whether the store processed a request of this node within the last few seconds. */
  public boolean isResponsive() {
    return scheduler.nowMicros() - lastProcessedMicros < UNRESPONSIVE_AFTER_MICROS;
  }

  /** Sets the limit on the rate of users' writes on this node, in writes per second. */
  public void setUserWritesPerSecond(double perSecond) {
    userWriteLimiter.setRate(perSecond);
    userWritesPerSecond = perSecond;
  }

  /** Returns the limit on the rate of users' writes on this node, in writes per second. */
  public double userWritesPerSecond() {
    return userWritesPerSecond;
  }

  /**
   * Returns the number of writes that users requested since the previous call of this method,
   * including refused ones.
   */
  public double takeRequestedUserWrites() {
    double result = requestedUserWrites;
    requestedUserWrites = 0;
    return result;
  }

  /**
   * Reads a key on behalf of a user, within the rate limit. The outcome is {@link Outcome#GONE} if
   * the key does not exist, and {@link Outcome#REFUSED} immediately if the request would be delayed
   * too long.
   */
  public void get(String key, Consumer<StoreReply<KeyValue>> callback) {
    callForUser(
        HttpRequest.get("/store/" + key), userRequestLimiter, 1, StoreCodec::readItem, callback);
  }

  /**
   * Reads a key for the leader or a leader election, without a rate limit, so that the request does
   * not wait behind requests of users.
   */
  public void getUnthrottled(String key, Consumer<StoreReply<KeyValue>> callback) {
    call(HttpRequest.get("/store/" + key), REQUEST_TIMEOUT_MICROS, StoreCodec::readItem, callback);
  }

  /**
   * Reads one page of the keys with a prefix.
   *
   * @param prefix the prefix of the keys
   * @param since the key after which the page starts; empty for the first page
   */
  public void range(String prefix, String since, Consumer<StoreReply<Page>> callback) {
    String target =
        "/store?under="
            + prefix
            + (since.isEmpty() ? "" : "&since=" + since)
            + "&most="
            + RANGE_PAGE_SIZE;
    call(HttpRequest.get(target), REQUEST_TIMEOUT_MICROS, StoreCodec::readRange, callback);
  }

  /**
   * Watches the keys with a prefix by one long poll. The outcome is {@link Outcome#GONE} if the
   * store no longer keeps the changes since the revision.
   *
   * @param prefix the prefix of the keys
   * @param since the revision after which changes are returned
   * @param waitMicros how long the store waits for a change before it returns an empty response
   */
  public void watch(
      String prefix, long since, long waitMicros, Consumer<StoreReply<Page>> callback) {
    call(
        HttpRequest.get(
            "/follow?under=" + prefix + "&since=" + since + "&wait_ms=" + waitMicros / 1000),
        waitMicros + REQUEST_TIMEOUT_MICROS,
        StoreCodec::readEvents,
        callback);
  }

  /**
   * Commits a user's transaction, within the rate limit on writes, which is separate from the one
   * on reads. The outcome is {@link Outcome#REFUSED} immediately if the request would be delayed
   * too long.
   *
   * @param callback receives the revision of the commit
   */
  public void commit(
      List<Condition> conditions, List<Write> writes, Consumer<StoreReply<Long>> callback) {
    HttpRequest request = HttpRequest.post("/commit", StoreCodec.commitRequest(conditions, writes));
    requestedUserWrites += writes.size();
    callForUser(request, userWriteLimiter, writes.size(), StoreCodec::readRevision, callback);
  }

  /**
   * Checks on behalf of users whether keys have the given versions, within the rate limit on
   * requests. Nothing is written.
   *
   * @param callback receives {@link Outcome#CONFLICT} with the keys that have another version
   */
  public void compare(List<Condition> conditions, Consumer<StoreReply<Long>> callback) {
    callForUser(
        HttpRequest.post("/commit", StoreCodec.commitRequest(conditions, List.of())),
        userRequestLimiter,
        1,
        StoreCodec::readRevision,
        callback);
  }

  /**
   * Commits a leader's transaction without a rate limit, so that it does not wait behind requests
   * of users. The caller batches and limits its commits.
   *
   * @param body the encoded transaction
   * @param callback receives the revision of the commit
   */
  public void commitUnthrottled(byte[] body, Consumer<StoreReply<Long>> callback) {
    call(
        HttpRequest.post("/commit", body),
        REQUEST_TIMEOUT_MICROS,
        StoreCodec::readRevision,
        callback);
  }

  /**
   * Requests a new lease.
   *
   * @param lifeMicros the time after which the lease expires unless it is renewed
   * @param callback receives the lease's id
   */
  public void grantLease(long lifeMicros, Consumer<StoreReply<Long>> callback) {
    call(
        HttpRequest.post("/holds", StoreCodec.leaseRequest(lifeMicros)),
        REQUEST_TIMEOUT_MICROS,
        StoreCodec::readLease,
        callback);
  }

  /** Renews a lease; the outcome is {@link Outcome#GONE} if it has expired. */
  public void renewLease(long lease, Consumer<StoreReply<Boolean>> callback) {
    call(
        HttpRequest.post("/holds/" + lease + "/extend", new byte[] {'{', '}'}),
        REQUEST_TIMEOUT_MICROS / 2,
        body -> true,
        callback);
  }

  /** Revokes a lease without waiting for the outcome. */
  public void revokeLease(long lease) {
    call(HttpRequest.delete("/holds/" + lease), REQUEST_TIMEOUT_MICROS, body -> true, reply -> {});
  }

  /**
   * Sends a user's request within the rate limit. The request is refused immediately if the rate
   * limit would delay it too long, and while the store is unresponsive and another user's request
   * is in flight, which serves as the probe. Without this rule, each request during an outage of
   * the store waits for a timeout and those queued behind it for two, and users receive no response
   * in time.
   */
  private <T> void callForUser(
      HttpRequest request,
      RateLimiter limiter,
      int cost,
      Decoder<T> decoder,
      Consumer<StoreReply<T>> callback) {
    boolean refused =
        (userRequestsInFlight > 0 && !isResponsive())
            || !limiter.runWithin(
                cost,
                MAX_USER_WAIT_MICROS,
                () -> {
                  userRequestsInFlight++;
                  call(
                      request,
                      REQUEST_TIMEOUT_MICROS,
                      decoder,
                      reply -> {
                        userRequestsInFlight--;
                        callback.accept(reply);
                      });
                });
    if (refused) {
      callback.accept(StoreReply.of(Outcome.REFUSED));
    }
  }

  private <T> void call(
      HttpRequest request,
      long timeoutMicros,
      Decoder<T> decoder,
      Consumer<StoreReply<T>> callback) {
    http.call(
        address,
        request,
        timeoutMicros,
        response -> callback.accept(toReply(request, response, decoder)));
  }

  private <T> StoreReply<T> toReply(
      HttpRequest request, HttpResponse response, Decoder<T> decoder) {
    try {
      switch (response.status()) {
        case 200 -> {
          T value = decoder.decode(response.body());
          lastProcessedMicros = scheduler.nowMicros();
          return StoreReply.ok(value);
        }
        case 404, 410 -> {
          lastProcessedMicros = scheduler.nowMicros();
          return StoreReply.of(Outcome.GONE);
        }
        case 409 -> {
          lastProcessedMicros = scheduler.nowMicros();
          return new StoreReply<>(
              Outcome.CONFLICT, null, StoreCodec.readFailedKeys(response.body()));
        }
        case 400 -> {
          LOG.info(
              "store rejected {} as malformed: {}",
              request.target(),
              new String(response.body(), StandardCharsets.UTF_8));
          return StoreReply.of(Outcome.GONE);
        }
        case 429, 503, HttpResponse.NOT_SENT -> {
          LOG.debug(
              "store request {} was not executed: status {}", request.target(), response.status());
          return StoreReply.of(Outcome.REFUSED);
        }
        default -> {
          LOG.debug(
              "no valid store response to {}: status {}", request.target(), response.status());
          return StoreReply.of(Outcome.UNKNOWN);
        }
      }
    } catch (MalformedMessageException e) {
      LOG.info("store response to {} is malformed: {}", request.target(), e.getMessage());
      return StoreReply.of(Outcome.UNKNOWN);
    }
  }
}
