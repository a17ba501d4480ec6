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
 * The one thread that owns all state. It is given to the asynchronous channel group as its pool, so
 * that completion handlers run on it and nothing else needs a lock.
 *
 * <p>Only {@link #execute}, the shutdown methods and their queries, and the clocks may be called on
 * any thread; the channel group's own thread calls {@link #execute}. All else is confined to the
 * event loop thread.
 */
public final class EventLoop extends AbstractExecutorService implements Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  /** Timers are looked at after so many tasks at the latest. */
  private static final int TASKS_PER_TURN = 64;

  private final ConcurrentLinkedQueue<Runnable> ready = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>();
  private volatile Thread thread;
  private volatile boolean stopped;
  private long nextOrder;

  /** A timer; those that are due at the same time run in the order in which they were set. */
  private static final class PendingTimer implements Timer, Comparable<PendingTimer> {
    private final long dueMicros;
    private final long order;
    private Runnable action;

    PendingTimer(long dueMicros, long order, Runnable action) {
      this.dueMicros = dueMicros;
      this.order = order;
      this.action = action;
    }

    @Override
    public void cancel() {
      action = null;
    }

    @Override
    public int compareTo(PendingTimer other) {
      int byTime = Long.compare(dueMicros, other.dueMicros);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Makes the calling thread the event loop thread, until {@link #shutdown()}. */
  public void run() {
    thread = Thread.currentThread();
    while (!stopped) {
      runReadyTasks();
      runDueTimers();
      if (ready.isEmpty() && !stopped) {
        awaitWork();
      }
    }
  }

  private void runReadyTasks() {
    for (int i = 0; i < TASKS_PER_TURN; i++) {
      Runnable task = ready.poll();
      if (task == null) {
        return;
      }
      runGuarded(task);
    }
  }

  private void runDueTimers() {
    long nowMicros = nowMicros();
    while (!timers.isEmpty() && timers.peek().dueMicros <= nowMicros) {
      Runnable action = timers.poll().action;
      if (action != null) {
        runGuarded(action);
      }
    }
  }

  private void awaitWork() {
    PendingTimer next = timers.peek();
    if (next == null) {
      LockSupport.park(this);
      return;
    }
    long waitMicros = next.dueMicros - nowMicros();
    if (waitMicros > 0) {
      LockSupport.parkNanos(this, waitMicros * 1000);
    }
  }

  /** One bad event must not end the process: it is logged, and the reconciling loops carry on. */
  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("event failed", e);
    }
  }

  /** Runs the task later on the event loop. May be called on any thread. */
  @Override
  public void execute(Runnable task) {
    ready.add(task);
    Thread owner = thread;
    if (owner != null && owner != Thread.currentThread()) {
      LockSupport.unpark(owner);
    }
  }

  /** Must be called on the event loop thread, or before it runs. */
  @Override
  public Timer after(long delayMicros, Runnable action) {
    PendingTimer timer =
        new PendingTimer(nowMicros() + Math.max(0, delayMicros), nextOrder++, action);
    timers.add(timer);
    return timer;
  }

  @Override
  public long nowMicros() {
    return System.nanoTime() / 1000;
  }

  @Override
  public long wallMicros() {
    return System.currentTimeMillis() * 1000;
  }

  /** Lets {@link #run()} return; tasks and timers left are not run. May be called on any thread. */
  @Override
  public void shutdown() {
    stopped = true;
    LockSupport.unpark(thread);
  }

  /** As {@link #shutdown()}; returns none of the tasks left. May be called on any thread. */
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

  /** Does not wait. May be called on any thread. */
  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return stopped;
  }
}
