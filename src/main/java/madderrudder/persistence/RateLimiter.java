package madderrudder.persistence;

import java.util.ArrayDeque;
import java.util.Deque;
import madderrudder.transport.Scheduler;

/** Keeps calls under a rate the other side enforces: they wait their turn in a bounded queue. */
public final class RateLimiter {
  private static final int MOST_WAITING = 256;

  /** Timers are no finer than this, and a shorter wait could end before the clock has moved. */
  private static final long LEAST_WAIT_MICROS = 1_000;

  private final Scheduler scheduler;
  private double perMicro;
  private final double burst;
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private double tokens;
  private double queuedCost;
  private double spent;
  private long filledMicros;
  private boolean pumping;

  private record Waiting(double cost, Runnable go) {}

  public RateLimiter(Scheduler scheduler, double perSecond, double burst) {
    this.scheduler = scheduler;
    this.perMicro = perSecond / 1e6;
    this.burst = Math.max(1, burst);
    tokens = this.burst;
    filledMicros = scheduler.nowMicros();
  }

  /** Runs the call when the rate allows; false if too many wait already. */
  public boolean run(double cost, Runnable go) {
    if (queue.size() >= MOST_WAITING) {
      return false;
    }
    queue.addLast(new Waiting(Math.min(cost, burst), go));
    queuedCost += Math.min(cost, burst);
    pump();
    return true;
  }

  /** Runs the call if its turn comes in time; false, at once, if it would not. */
  public boolean runWithin(double cost, long mostWaitMicros, Runnable go) {
    fill();
    return queuedCost + cost - tokens <= mostWaitMicros * perMicro && run(cost, go);
  }

  /** From now on the rate is this. */
  public void rate(double perSecond) {
    fill();
    perMicro = perSecond / 1e6;
  }

  /** What has been spent since the last look. */
  public double takeSpent() {
    double since = spent;
    spent = 0;
    return since;
  }

  /** What may be spent at this moment. */
  public double left() {
    fill();
    return queue.isEmpty() ? tokens : 0;
  }

  private void pump() {
    if (pumping) {
      return;
    }
    pumping = true;
    fill();
    while (!queue.isEmpty() && tokens >= queue.peekFirst().cost()) {
      Waiting next = queue.pollFirst();
      tokens -= next.cost();
      queuedCost -= next.cost();
      spent += next.cost();
      next.go().run();
    }
    pumping = false;
    if (!queue.isEmpty()) {
      pumping = true;
      long waitMicros = LEAST_WAIT_MICROS + (long) ((queue.peekFirst().cost() - tokens) / perMicro);
      scheduler.after(
          waitMicros,
          () -> {
            pumping = false;
            pump();
          });
    }
  }

  private void fill() {
    long now = scheduler.nowMicros();
    tokens = Math.min(burst, tokens + (now - filledMicros) * perMicro);
    filledMicros = now;
  }
}
