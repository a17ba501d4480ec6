package madderrudder.bookkeeping;

import java.util.ArrayDeque;
import java.util.Deque;
import madderrudder.transport.Scheduler;

/**
 * Keeps calls under a rate the other side enforces. Urgent calls are only counted; ordinary ones
 * wait their turn in a bounded queue, so that holds and leadership always find room.
 */
public final class Pace {
    private static final int MOST_WAITING = 256;

    private final Scheduler scheduler;
    private final double perMicro;
    private final double burst;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private double tokens;
    private long filledMicros;
    private boolean pumping;

    private record Waiting(double cost, Runnable go) {
    }

    public Pace(Scheduler scheduler, double perSecond, double burst) {
        this.scheduler = scheduler;
        this.perMicro = perSecond / 1e6;
        this.burst = Math.max(1, burst);
        tokens = this.burst;
        filledMicros = scheduler.nowMicros();
    }

    /** Counts a call that must not wait. */
    public void urgent(double cost) {
        fill();
        tokens -= cost;
    }

    /** Runs the call when the rate allows; false if too many wait already. */
    public boolean ordinary(double cost, Runnable go) {
        if (queue.size() >= MOST_WAITING) {
            return false;
        }
        queue.addLast(new Waiting(Math.min(cost, burst), go));
        pump();
        return true;
    }

    /** Takes the cost if it is there at this moment. */
    public boolean tryTake(double cost) {
        fill();
        if (!queue.isEmpty() || tokens < Math.min(cost, burst)) {
            return false;
        }
        tokens -= cost;
        return true;
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
            next.go().run();
        }
        pumping = false;
        if (!queue.isEmpty()) {
            pumping = true;
            long waitMicros = (long) ((queue.peekFirst().cost() - tokens) / perMicro) + 1;
            scheduler.after(waitMicros, () -> {
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
