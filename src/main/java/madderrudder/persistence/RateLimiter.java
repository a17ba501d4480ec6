package madderrudder.persistence;

import java.util.ArrayDeque;
import java.util.Deque;
import madderrudder.transport.Scheduler;

/**
 * A token bucket with a bounded first-in first-out queue, which keeps calls under a rate that the
 * other side enforces. Confined to the event loop thread, where the calls run too.
 */
public final class RateLimiter {
  private static final int MAX_WAITING = 256;

  /** Timers are no finer than this, and a shorter wait could end before the clock has moved. */
  private static final long MIN_WAIT_MICROS = 1_000;

  private final Scheduler scheduler;
  private double tokensPerMicro;
  private final double burst;
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private double tokens;
  private double queuedCost;
  private double spent;
  private long refilledMicros;
  private boolean runningOrScheduled;

  /** A call in the queue. */
  private record Waiting(double cost, Runnable call) {}

  /**
   * Creates a limiter with a full bucket.
   *
   * @param perSecond the tokens added each second
   * @param burst the most tokens in the bucket, at least 1
   */
  public RateLimiter(Scheduler scheduler, double perSecond, double burst) {
    this.scheduler = scheduler;
    this.tokensPerMicro = perSecond / 1e6;
    this.burst = Math.max(1, burst);
    tokens = this.burst;
    refilledMicros = scheduler.nowMicros();
  }

  /**
   * Runs the call as soon as the rate allows, at once if it can.
   *
   * @param cost the tokens it takes; no call takes more than the burst
   * @return false, and the call will not run, if too many wait already
   */
  public boolean run(double cost, Runnable call) {
    if (queue.size() >= MAX_WAITING) {
      return false;
    }
    queue.addLast(new Waiting(Math.min(cost, burst), call));
    queuedCost += Math.min(cost, burst);
    runDue();
    return true;
  }

  /**
   * Runs the call if its turn comes in time.
   *
   * @param cost the tokens it takes
   * @param maxWaitMicros the longest it may wait
   * @return false at once, and the call will not run, if it would have to wait for longer
   */
  public boolean runWithin(double cost, long maxWaitMicros, Runnable call) {
    refill();
    return queuedCost + cost - tokens <= maxWaitMicros * tokensPerMicro && run(cost, call);
  }

  /** Changes the rate; the burst stays. */
  public void setRate(double perSecond) {
    refill();
    tokensPerMicro = perSecond / 1e6;
  }

  /** Returns the tokens spent since the last call of this method. */
  public double takeSpent() {
    double result = spent;
    spent = 0;
    return result;
  }

  /** The tokens that may be spent at this moment; 0 while calls wait. */
  public double left() {
    refill();
    return queue.isEmpty() ? tokens : 0;
  }

  private void runDue() {
    if (runningOrScheduled) {
      return;
    }
    runningOrScheduled = true;
    refill();
    while (!queue.isEmpty() && tokens >= queue.peekFirst().cost()) {
      Waiting next = queue.pollFirst();
      tokens -= next.cost();
      queuedCost -= next.cost();
      spent += next.cost();
      next.call().run();
    }
    runningOrScheduled = false;
    if (!queue.isEmpty()) {
      runningOrScheduled = true;
      long waitMicros =
          MIN_WAIT_MICROS + (long) ((queue.peekFirst().cost() - tokens) / tokensPerMicro);
      scheduler.after(
          waitMicros,
          () -> {
            runningOrScheduled = false;
            runDue();
          });
    }
  }

  private void refill() {
    long nowMicros = scheduler.nowMicros();
    tokens = Math.min(burst, tokens + (nowMicros - refilledMicros) * tokensPerMicro);
    refilledMicros = nowMicros;
  }
}
