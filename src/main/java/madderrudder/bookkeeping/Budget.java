package madderrudder.bookkeeping;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessage;

/**
 * Counts the machines rented within a sliding window. The times are times of day, because the count
 * outlives the process; the window is stretched by how far two clocks may differ, so a take-over by
 * a node with another clock never lets more through.
 */
public final class Budget {
    private final int most;
    private final long windowMicros;
    private final Deque<Long> spentWallMicros = new ArrayDeque<>();

    public Budget(int most, long windowMicros, long clockOffMicros) {
        this.most = most;
        this.windowMicros = windowMicros + 2 * clockOffMicros;
    }

    public int left(long wallMicros) {
        while (!spentWallMicros.isEmpty() && spentWallMicros.peekFirst() <= wallMicros - windowMicros) {
            spentWallMicros.pollFirst();
        }
        return Math.max(0, most - spentWallMicros.size());
    }

    /** Reserves rentals; false, and nothing reserved, if that many are not left. */
    public boolean reserve(int count, long wallMicros) {
        if (left(wallMicros) < count) {
            return false;
        }
        for (int i = 0; i < count; i++) {
            spentWallMicros.addLast(wallMicros);
        }
        return true;
    }

    public byte[] render() {
        List<Long> times = List.copyOf(spentWallMicros);
        return Json.object(out -> {
            out.writeArrayFieldStart("spent_us");
            for (long time : times) {
                out.writeNumber(time);
            }
            out.writeEndArray();
        });
    }

    public void load(Fields in) throws MalformedMessage {
        spentWallMicros.clear();
        in.counts("spent_us").stream().sorted().forEach(spentWallMicros::addLast);
    }
}
