package madderrudder.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import madderrudder.transport.Scheduler;

/** Virtual time: events in order, and clocks of hosts that drift and end. */
final class Sim {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  final SplittableRandom random;
  long nowMicros;
  private long order;

  private record Event(long atMicros, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMicros, other.atMicros);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  Sim(long seed) {
    random = new SplittableRandom(seed);
  }

  void after(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), order++, action));
  }

  /** Runs events up to the time, and the check after each. */
  void runUntil(long untilMicros, Runnable check) {
    while (!events.isEmpty() && events.peek().atMicros <= untilMicros) {
      Event event = events.poll();
      nowMicros = event.atMicros;
      event.action.run();
      check.run();
    }
    nowMicros = untilMicros;
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  /**
   * The clocks of one process; nothing of it happens any more once it has ended, nor while it is
   * frozen.
   */
  final class Host implements Scheduler {
    private final double rate;
    private final long wallOffMicros;
    private final List<Runnable> late = new ArrayList<>();
    private long frozenUntilMicros;
    boolean ended;

    Host(double rate, long wallOffMicros) {
      this.rate = rate;
      this.wallOffMicros = wallOffMicros;
    }

    /**
     * The process stands still while its clocks run on; what was due meanwhile follows at once, in
     * its order.
     */
    void freeze(long forMicros) {
      boolean frozen = nowMicros < frozenUntilMicros;
      frozenUntilMicros = Math.max(frozenUntilMicros, nowMicros + forMicros);
      if (!frozen) {
        thawLater();
      }
    }

    private void thawLater() {
      Sim.this.after(
          frozenUntilMicros - nowMicros,
          () -> {
            if (nowMicros < frozenUntilMicros) {
              thawLater();
              return;
            }
            List<Runnable> waiting = List.copyOf(late);
            late.clear();
            waiting.forEach(this::whenAwake);
          });
    }

    /** Runs the action as the process, later if it stands still, never if it has ended. */
    void whenAwake(Runnable action) {
      if (ended) {
        return;
      }
      if (nowMicros < frozenUntilMicros) {
        late.add(action);
      } else {
        action.run();
      }
    }

    @Override
    public long nowMicros() {
      return (long) (nowMicros * rate) + 77_000_000;
    }

    @Override
    public long wallMicros() {
      return 1_790_000_000_000_000L + nowMicros + wallOffMicros;
    }

    @Override
    public Timer after(long delayMicros, Runnable action) {
      boolean[] cancelled = new boolean[1];
      Sim.this.after(
          (long) Math.ceil(delayMicros / rate),
          () -> {
            whenAwake(
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
      after(0, action);
    }
  }
}
