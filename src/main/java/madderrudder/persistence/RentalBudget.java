package madderrudder.persistence;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;

/**
 * Counts the machines rented within a sliding window. The times are times of day, because the count
 * outlives the process; the window is stretched by how far two clocks may differ, so a take-over by
 * a node with another clock never lets more through.
 *
 * <p>Reservations made close together are kept as one, counted from the last of them, so that what
 * is stored stays small however many machines a window allows.
 */
public final class RentalBudget {
  /** At most this many entries are kept within a window. */
  private static final int ENTRIES = 100;

  private final int most;
  private final long windowMicros;
  private final Deque<Spent> spent = new ArrayDeque<>();

  private record Spent(long firstWallMicros, long lastWallMicros, int count) {}

  public RentalBudget(int most, long windowMicros, long clockOffMicros) {
    this.most = most;
    this.windowMicros = windowMicros + 2 * clockOffMicros;
  }

  public int left(long wallMicros) {
    while (!spent.isEmpty() && spent.peekFirst().lastWallMicros() <= wallMicros - windowMicros) {
      spent.pollFirst();
    }
    int used = 0;
    for (Spent some : spent) {
      used += some.count();
    }
    return Math.max(0, most - used);
  }

  /** Reserves rentals; false, and nothing reserved, if that many are not left. */
  public boolean reserve(int count, long wallMicros) {
    if (left(wallMicros) < count) {
      return false;
    }
    add(new Spent(wallMicros, wallMicros, count));
    return true;
  }

  private void add(Spent more) {
    Spent last = spent.peekLast();
    if (last != null && more.lastWallMicros() - last.firstWallMicros() < windowMicros / ENTRIES) {
      spent.pollLast();
      spent.addLast(
          new Spent(
              last.firstWallMicros(),
              Math.max(last.lastWallMicros(), more.lastWallMicros()),
              last.count() + more.count()));
    } else {
      spent.addLast(more);
    }
  }

  public byte[] render() {
    List<Spent> all = List.copyOf(spent);
    return Json.object(
        out -> {
          out.writeArrayFieldStart("spent");
          for (Spent some : all) {
            out.writeStartObject();
            out.writeNumberField("us", some.lastWallMicros());
            out.writeNumberField("n", some.count());
            out.writeEndObject();
          }
          out.writeEndArray();
        });
  }

  public void load(Fields in) throws MalformedMessageException {
    List<Spent> all = new ArrayList<>();
    for (Fields some : in.objects("spent")) {
      all.add(new Spent(some.count("us"), some.count("us"), some.smallCount("n")));
    }
    all.sort(Comparator.comparingLong(Spent::lastWallMicros));
    spent.clear();
    all.forEach(this::add);
  }
}
