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
 * Runs tasks and timers on a single thread, which owns all mutable state of the process. The loop
 * is also the thread pool of the asynchronous channel group, so completion handlers run on the same
 * thread and need no locks.
 *
 * <p>{@link #execute}, the shutdown methods, the methods that query the shutdown state, and the
 * clocks may be called on any thread; the channel group calls {@link #execute} on an internal
 * thread. All other methods are confined to the event loop thread.
 */
public final class EventLoop extends AbstractExecutorService implements Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  /** Limit on the queued tasks that run before due timers are checked again. */
  private static final int MAX_TASKS_BEFORE_TIMERS = 64;

  private final ConcurrentLinkedQueue<Runnable> readyTasks = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>();
  private volatile Thread loopThread;
  private volatile boolean stopped;
  private long nextSequence;

  /** A scheduled action. Timers that are due at the same time run in scheduling order. */
  private static final class PendingTimer implements Timer, Comparable<PendingTimer> {
    private final long dueMicros;
    private final long sequence;

    /** Null once the timer is cancelled. */
    private Runnable action;

    PendingTimer(long dueMicros, long sequence, Runnable action) {
      this.dueMicros = dueMicros;
      this.sequence = sequence;
      this.action = action;
    }

    @Override
    public void cancel() {
      action = null;
    }

    @Override
    public int compareTo(PendingTimer other) {
      int byDueTime = Long.compare(dueMicros, other.dueMicros);
      return byDueTime != 0 ? byDueTime : Long.compare(sequence, other.sequence);
    }
  }

  /** Runs the event loop on the calling thread until {@link #shutdown()} is called. */
  public void run() {
    loopThread = Thread.currentThread();
    while (!stopped) {
      runReadyTasks();
      runDueTimers();
      if (readyTasks.isEmpty() && !stopped) {
        awaitWork();
      }
    }
  }

  private void runReadyTasks() {
    for (int i = 0; i < MAX_TASKS_BEFORE_TIMERS; i++) {
      Runnable task = readyTasks.poll();
      if (task == null) {
        return;
      }
      runAndLogFailure(task);
    }
  }

  private void runDueTimers() {
    long nowMicros = nowMicros();
    while (!timers.isEmpty() && timers.peek().dueMicros <= nowMicros) {
      Runnable action = timers.poll().action;
      if (action != null) {
        runAndLogFailure(action);
      }
    }
  }

  private void awaitWork() {
    PendingTimer nextTimer = timers.peek();
    if (nextTimer == null) {
      LockSupport.park(this);
      return;
    }
    long waitMicros = nextTimer.dueMicros - nowMicros();
    if (waitMicros > 0) {
      LockSupport.parkNanos(this, waitMicros * 1000);
    }
  }

  /**
   * Runs the task and logs an exception that it throws. A failed task must not end the process: the
   * reconciliation loops continue to run.
   */
  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("event loop task failed, the loop continues", e);
    }
  }

  /** Queues the task to run on the event loop thread. May be called on any thread. */
  @Override
  public void execute(Runnable task) {
    readyTasks.add(task);
    Thread target = loopThread;
    if (target != null && target != Thread.currentThread()) {
      LockSupport.unpark(target);
    }
  }

  /**
   * Runs the action once on the event loop thread, after the delay; a negative delay counts as 0.
   * Must be called on the event loop thread, or before {@link #run()}.
   */
  @Override
  public Timer runAfter(long delayMicros, Runnable action) {
    PendingTimer timer =
        new PendingTimer(nowMicros() + Math.max(0, delayMicros), nextSequence++, action);
    timers.add(timer);
    return timer;
  }

  @Override
  public long nowMicros() {
    return System.nanoTime() / 1000;
  }

  @Override
  public long wallClockMicros() {
    return System.currentTimeMillis() * 1000;
  }

  /**
   * Makes {@link #run()} return after the current batch of tasks and timers; those that are still
   * pending do not run. May be called on any thread.
   */
  @Override
  public void shutdown() {
    stopped = true;
    LockSupport.unpark(loopThread);
  }

  /**
   * Same as {@link #shutdown()}. Returns an empty list instead of the pending tasks. May be called
   * on any thread.
   */
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

  /** Returns at once whether the loop has been shut down. May be called on any thread. */
  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return stopped;
  }
}
