package madderrudder.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessage;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;

class RecordsTest {
    private static final long WINDOW = 300_000_000;

    @Test
    void progressOfTheLargestJobFitsInValuesAndComesBack() throws MalformedMessage {
        SplittableRandom random = new SplittableRandom(5);
        BitSet done = new BitSet();
        for (int i = 0; i < 100_000; i++) {
            done.set(i, random.nextBoolean());
        }
        BitSet read = new BitSet();
        for (int chunk = 0; chunk <= 100_000 / JobRecords.CHUNK; chunk++) {
            byte[] value = JobRecords.progress(done, chunk);
            assertTrue(value.length < 8 * 1024);
            JobRecords.readProgress(Json.readObject(value), chunk, read);
        }
        assertEquals(done, read);
    }

    @Test
    void machineRecordsComeBack() throws MalformedMessage {
        MachineRecord record = new MachineRecord("m-000001", "g8", "a", true, false, true, 77, List.of(
                new MachineRecord.Entry(new TaskId("req-000001", 4), 9, "alto", Resources.of(1.5, 0, 3))),
                List.of(new MachineRecord.Image("img-1", 1.5)));
        assertEquals(record, MachineRecord.read("m-000001", Json.readObject(record.render())));
    }

    /** A machine that has kept many images must not outgrow what one value may hold: the newest are written. */
    @Test
    void theNewestImagesOfAMachineAreKept() throws MalformedMessage {
        List<MachineRecord.Image> many = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            many.add(new MachineRecord.Image("img-" + i, 1.25));
        }
        byte[] text = new MachineRecord("m-1", "g8", "a", true, false, true, 77, List.of(), many).render();
        assertTrue(text.length < MachineRecord.IMAGES_BYTES + 512);
        List<MachineRecord.Image> kept = MachineRecord.read("m-1", Json.readObject(text)).images();
        assertTrue(kept.size() > 20);
        assertEquals(many.subList(500 - kept.size(), 500), kept);
    }

    /** The count survives a take-over by a node whose clock differs by all that is allowed. */
    @Test
    void budgetNeverLetsMoreThroughWithinTheWindow() throws MalformedMessage {
        Budget first = new Budget(3, WINDOW, 1_000_000);
        assertTrue(first.reserve(3, 1_000_000_000));
        assertFalse(first.reserve(1, 1_000_000_000 + WINDOW));
        Budget second = new Budget(3, WINDOW, 1_000_000);
        second.load(Json.readObject(first.render()));
        assertEquals(0, second.left(1_000_000_000 + WINDOW + 1_999_999));
        assertEquals(3, second.left(1_000_000_000 + WINDOW + 2_000_000));
    }
}
