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
 * Limits the machines rented within a sliding window. The times are times of day in microseconds,
 * because the count outlives the process; the window is lengthened by how far two clocks may
 * differ, so a failover to a node with another clock never lets more through.
 *
 * <p>Reservations made close together are stored as one, counted from the last of them, so that the
 * record stays small however many machines a window allows. Confined to the event loop thread.
 */
public final class RentalBudget {
  /** At most this many reservations are kept within a window. */
  private static final int MAX_RESERVATIONS = 100;

  private final int maxRentals;
  private final long windowMicros;
  private final Deque<Reservation> reservations = new ArrayDeque<>();

  /** Reservations made between two moments, kept as one. */
  private record Reservation(long firstWallMicros, long lastWallMicros, int count) {}

  /**
   * Creates an unused budget.
   *
   * @param maxRentals the most machines rented within the window
   * @param windowMicros the length of the window
   * @param clockOffMicros how far a clock may be off the true time
   */
  public RentalBudget(int maxRentals, long windowMicros, long clockOffMicros) {
    this.maxRentals = maxRentals;
    this.windowMicros = windowMicros + 2 * clockOffMicros;
  }

  /** How many machines may be rented at this time of day. */
  public int left(long wallMicros) {
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

  /** Reserves rentals; returns false, and reserves nothing, if not that many are left. */
  public boolean reserve(int count, long wallMicros) {
    if (left(wallMicros) < count) {
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
  public byte[] render() {
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
   * Replaces the reservations by stored ones.
   *
   * @throws MalformedMessageException if the record is not valid; nothing is replaced
   */
  public void load(JsonFields in) throws MalformedMessageException {
    List<Reservation> all = new ArrayList<>();
    for (JsonFields entry : in.objects("spent")) {
      long wallMicros = entry.count("us");
      all.add(new Reservation(wallMicros, wallMicros, entry.smallCount("n")));
    }
    all.sort(Comparator.comparingLong(Reservation::lastWallMicros));
    reservations.clear();
    all.forEach(this::add);
  }
}
