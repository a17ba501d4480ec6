package madderrudder.persistence;

import java.util.ArrayDeque;
import java.util.Deque;
import madderrudder.transport.Scheduler;

/**
 * A token bucket with a bounded first-in first-out queue, which keeps calls under the rate limit
 * that a server enforces. Confined to the event loop thread, where the calls run too.
 */
public final class RateLimiter {
  private static final int MAX_QUEUED_CALLS = 256;

  /**
   * Added to each wait. Timers have no finer resolution, and a shorter wait could end before the
   * clock has advanced.
   */
  private static final long MIN_WAIT_MICROS = 1_000;

  private final Scheduler scheduler;
  private double tokensPerMicro;
  private final double burst;
  private final Deque<QueuedCall> queue = new ArrayDeque<>();
  private double tokens;
  private double queuedCost;
  private double spentTokens;
  private long refilledMicros;
  private boolean runningOrScheduled;

  /** A call in the queue. */
  private record QueuedCall(double cost, Runnable call) {}

  /**
   * Creates a limiter with a full bucket.
   *
   * @param perSecond the number of tokens added per second
   * @param burst the capacity of the bucket in tokens; raised to 1 if it is lower
   */
  public RateLimiter(Scheduler scheduler, double perSecond, double burst) {
    this.scheduler = scheduler;
    this.tokensPerMicro = perSecond / 1e6;
    this.burst = Math.max(1, burst);
    tokens = this.burst;
    refilledMicros = scheduler.nowMicros();
  }

  /**
   * Runs the call as soon as the rate allows, immediately if possible.
   *
   * @param cost the number of tokens the call takes, capped at the burst
   * @return false if the queue is full; the call will then not run
   */
  public boolean run(double cost, Runnable call) {
    if (queue.size() >= MAX_QUEUED_CALLS) {
      return false;
    }
    queue.addLast(new QueuedCall(Math.min(cost, burst), call));
    queuedCost += Math.min(cost, burst);
    runDueCalls();
    return true;
  }

  /**
   * Runs the call if the rate allows it within a time limit.
   *
   * @param cost the number of tokens the call takes
   * @param maxWaitMicros the maximum time in the queue
   * @return false if the call would have to wait longer or the queue is full; it will then not run
   */
  public boolean runWithin(double cost, long maxWaitMicros, Runnable call) {
    refill();
    return queuedCost + cost - tokens <= maxWaitMicros * tokensPerMicro && run(cost, call);
  }

  /** Changes the rate, in tokens per second, and keeps the burst. */
  public void setRate(double perSecond) {
    refill();
    tokensPerMicro = perSecond / 1e6;
  }

  /** Returns the number of tokens spent since the previous call of this method. */
  public double takeSpentTokens() {
    double result = spentTokens;
    spentTokens = 0;
    return result;
  }

  /** Returns the number of tokens that may be spent now; 0 while calls are queued. */
  public double availableTokens() {
    refill();
    return queue.isEmpty() ? tokens : 0;
  }

  private void runDueCalls() {
    if (runningOrScheduled) {
      return;
    }
    runningOrScheduled = true;
    refill();
    while (!queue.isEmpty() && tokens >= queue.peekFirst().cost()) {
      QueuedCall next = queue.pollFirst();
      tokens -= next.cost();
      queuedCost -= next.cost();
      spentTokens += next.cost();
      next.call().run();
    }
    runningOrScheduled = false;
    if (!queue.isEmpty()) {
      runningOrScheduled = true;
      long waitMicros =
          MIN_WAIT_MICROS + (long) ((queue.peekFirst().cost() - tokens) / tokensPerMicro);
      scheduler.runAfter(
          waitMicros,
          () -> {
            runningOrScheduled = false;
            runDueCalls();
          });
    }
  }

  private void refill() {
    long nowMicros = scheduler.nowMicros();
    tokens = Math.min(burst, tokens + (nowMicros - refilledMicros) * tokensPerMicro);
    refilledMicros = nowMicros;
  }
}
