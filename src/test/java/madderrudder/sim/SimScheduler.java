package madderrudder.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import madderrudder.transport.Scheduler;

/**
 * Virtual time and the event queue of one simulated run, on one thread. Events run in the order of
 * their time; events with the same time run in the order in which they were scheduled. The clock
 * jumps from one event to the next. All random numbers of a run come from {@link #random}, so the
 * seed determines the whole run.
 */
final class SimScheduler {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  final SplittableRandom random;
  long nowMicros;
  private long sequence;

  private record Event(long atMicros, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  SimScheduler(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Schedules the action; a negative delay counts as zero. */
  void after(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), sequence++, action));
  }

  /**
   * Runs all events due by {@code untilMicros}, each followed by the check, and sets the clock to
   * that time.
   */
  void runUntil(long untilMicros, Runnable check) {
    while (!events.isEmpty() && events.peek().atMicros <= untilMicros) {
      Event event = events.poll();
      nowMicros = event.atMicros;
      event.action.run();
      check.run();
    }
    nowMicros = untilMicros;
  }

  /** Draws a random number and returns true with the given probability. */
  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  /**
   * The clocks and timers of one process. The rate of its monotonic clock may deviate slightly from
   * virtual time. No action of the process runs after it has ended or while it is paused.
   */
  final class HostClock implements Scheduler {
    private final double rate;
    private final long wallOffsetMicros;
    private final List<Runnable> deferred = new ArrayList<>();
    private long pausedUntilMicros;
    boolean ended;

    HostClock(double rate, long wallOffsetMicros) {
      this.rate = rate;
      this.wallOffsetMicros = wallOffsetMicros;
    }

    /**
     * Pauses the process; its clocks keep running. Actions that fall due during the pause run right
     * after it, in their order.
     */
    void pause(long durationMicros) {
      boolean paused = nowMicros < pausedUntilMicros;
      pausedUntilMicros = Math.max(pausedUntilMicros, nowMicros + durationMicros);
      if (!paused) {
        scheduleResume();
      }
    }

    private void scheduleResume() {
      SimScheduler.this.after(
          pausedUntilMicros - nowMicros,
          () -> {
            if (nowMicros < pausedUntilMicros) {
              scheduleResume();
              return;
            }
            List<Runnable> waiting = List.copyOf(deferred);
            deferred.clear();
            waiting.forEach(this::runOrDefer);
          });
    }

    /**
     * Runs the action now, or after the pause if the process is paused, or never if it has ended.
     */
    void runOrDefer(Runnable action) {
      if (ended) {
        return;
      }
      if (nowMicros < pausedUntilMicros) {
        deferred.add(action);
      } else {
        action.run();
      }
    }

    @Override
    public long nowMicros() {
      return (long) (nowMicros * rate) + 77_000_000;
    }

    @Override
    public long wallClockMicros() {
      return 1_790_000_000_000_000L + nowMicros + wallOffsetMicros;
    }

    @Override
    public Timer runAfter(long delayMicros, Runnable action) {
      boolean[] cancelled = new boolean[1];
      SimScheduler.this.after(
          (long) Math.ceil(delayMicros / rate),
          () -> {
            runOrDefer(
                () -> {
                  if (!cancelled[0]) {
                    action.run();
                  }
                });
          });
      return () -> cancelled[0] = true;
    }

    @Override
    public void execute(Runnable action) {
      runAfter(0, action);
    }
  }
}
