package madderrudder.persistence;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;

/**
 * Limits the number of machines rented within a sliding window. Times are wall-clock times in
 * microseconds, because the reservations outlive the process. The window is extended by the largest
 * difference between two clocks, so that a failover to a node with a different clock does not
 * permit additional rentals.
 *
 * <p>Reservations made close together are merged into one, which expires with the latest of them,
 * so that the size of the stored record does not grow with the budget. Confined to the event loop
 * thread.
 */
public final class RentalBudget {
  /**
   * Bounds the number of reservations kept per window: those closer together than the window
   * divided by this are merged.
   */
  private static final int MAX_RESERVATIONS = 100;

  private final int maxRentals;
  private final long windowMicros;
  private final Deque<Reservation> reservations = new ArrayDeque<>();

  /** One reservation, or several that were merged. */
  private record Reservation(long firstWallMicros, long lastWallMicros, int count) {}

  /**
   * Creates an unused budget.
   *
   * @param maxRentals the maximum number of machines rented within the window
   * @param windowMicros the length of the window
   * @param maxClockErrorMicros the maximum difference between a node's clock and the true time
   */
  public RentalBudget(int maxRentals, long windowMicros, long maxClockErrorMicros) {
    this.maxRentals = maxRentals;
    this.windowMicros = windowMicros + 2 * maxClockErrorMicros;
  }

  /** Returns the number of machines that may still be rented at this wall-clock time. */
  public int remaining(long wallMicros) {
    while (!reservations.isEmpty()
        && reservations.peekFirst().lastWallMicros() <= wallMicros - windowMicros) {
      reservations.pollFirst();
    }
    int used = 0;
    for (Reservation reservation : reservations) {
      used += reservation.count();
    }
    return Math.max(0, maxRentals - used);
  }

  /**
   * Reserves rentals; returns false, and reserves nothing, if fewer than {@code count} are left.
   */
  public boolean reserve(int count, long wallMicros) {
    if (remaining(wallMicros) < count) {
      return false;
    }
    add(new Reservation(wallMicros, wallMicros, count));
    return true;
  }

  private void add(Reservation added) {
    Reservation last = reservations.peekLast();
    if (last != null
        && added.lastWallMicros() - last.firstWallMicros() < windowMicros / MAX_RESERVATIONS) {
      reservations.pollLast();
      reservations.addLast(
          new Reservation(
              last.firstWallMicros(),
              Math.max(last.lastWallMicros(), added.lastWallMicros()),
              last.count() + added.count()));
    } else {
      reservations.addLast(added);
    }
  }

  /** Encodes the reservations. The JSON layout is stored and must not change. */
  public byte[] encode() {
    List<Reservation> all = List.copyOf(reservations);
    return Json.object(
        out -> {
          out.writeArrayFieldStart("spent");
          for (Reservation reservation : all) {
            out.writeStartObject();
            out.writeNumberField("us", reservation.lastWallMicros());
            out.writeNumberField("n", reservation.count());
            out.writeEndObject();
          }
          out.writeEndArray();
        });
  }

  /**
   * Replaces the reservations with stored ones.
   *
   * @throws MalformedMessageException if the record is not valid; the reservations are unchanged
   */
  public void load(JsonFields in) throws MalformedMessageException {
    List<Reservation> all = new ArrayList<>();
    for (JsonFields entry : in.objects("spent")) {
      long wallMicros = entry.count("us");
      all.add(new Reservation(wallMicros, wallMicros, entry.intCount("n")));
    }
    all.sort(Comparator.comparingLong(Reservation::lastWallMicros));
    reservations.clear();
    all.forEach(this::add);
  }
}
