package madderrudder.transport;

import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns all state. It is handed to the asynchronous channel group as its pool,
 * so completion handlers arrive here directly and nothing else needs a lock.
 */
public final class EventLoop extends AbstractExecutorService implements Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final int TURN = 64;

  private final ConcurrentLinkedQueue<Runnable> ready = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Pending> timers = new PriorityQueue<>();
  private volatile Thread thread;
  private volatile boolean stopped;
  private long order;

  private static final class Pending implements Timer, Comparable<Pending> {
    private final long atMicros;
    private final long order;
    private Runnable action;

    Pending(long atMicros, long order, Runnable action) {
      this.atMicros = atMicros;
      this.order = order;
      this.action = action;
    }

    @Override
    public void cancel() {
      action = null;
    }

    @Override
    public int compareTo(Pending other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Takes over the calling thread until {@link #shutdown()}. */
  public void run() {
    thread = Thread.currentThread();
    while (!stopped) {
      for (int i = 0; i < TURN; i++) {
        Runnable task = ready.poll();
        if (task == null) {
          break;
        }
        guarded(task);
      }
      fireDueTimers();
      if (ready.isEmpty() && !stopped) {
        Pending next = timers.peek();
        if (next == null) {
          LockSupport.park(this);
        } else {
          long waitMicros = next.atMicros - nowMicros();
          if (waitMicros > 0) {
            LockSupport.parkNanos(this, waitMicros * 1000);
          }
        }
      }
    }
  }

  private void fireDueTimers() {
    long now = nowMicros();
    while (!timers.isEmpty() && timers.peek().atMicros <= now) {
      Runnable action = timers.poll().action;
      if (action != null) {
        guarded(action);
      }
    }
  }

  /** One bad event must not end the process: it is logged, and the reconciling loops carry on. */
  private static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("event failed", e);
    }
  }

  @Override
  public void execute(Runnable task) {
    ready.add(task);
    Thread owner = thread;
    if (owner != null && owner != Thread.currentThread()) {
      LockSupport.unpark(owner);
    }
  }

  /** Must be called on the loop itself (or before it runs). */
  @Override
  public Timer after(long delayMicros, Runnable action) {
    Pending pending = new Pending(nowMicros() + Math.max(0, delayMicros), order++, action);
    timers.add(pending);
    return pending;
  }

  @Override
  public long nowMicros() {
    return System.nanoTime() / 1000;
  }

  @Override
  public long wallMicros() {
    return System.currentTimeMillis() * 1000;
  }

  @Override
  public void shutdown() {
    stopped = true;
    LockSupport.unpark(thread);
  }

  @Override
  public List<Runnable> shutdownNow() {
    shutdown();
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return stopped;
  }

  @Override
  public boolean isTerminated() {
    return stopped;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return stopped;
  }
}
