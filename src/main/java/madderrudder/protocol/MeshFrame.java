package madderrudder.protocol;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * What controllers tell one another. A frame is a length (4 bytes, without itself), a kind (1 byte)
 * and its fields, big-endian; texts are a length (2 bytes) and UTF-8.
 */
public sealed interface MeshFrame {
    int MAX_BYTES = 64 * 1024;
    int PREFIX_BYTES = 4;

    /**
     * A sign of life: the highest term heard of, who leads it, whether the store answers here; in thousandths, how many
     * writes a second the sender leaves over for users, if it leads, and how many its own users want.
     */
    record Pulse(String member, long term, String leader, boolean storeAnswers, int spareMilliWrites,
            int wantedMilliWrites) implements MeshFrame {
    }

    /** How far jobs have come, for display by nodes that don't lead. */
    record Progress(long term, List<JobProgress> jobs) implements MeshFrame {
    }

    /** How far one job has come. */
    record JobProgress(String job, int done, int running) {
    }

    private static byte kind(MeshFrame frame) {
        return (byte) (frame instanceof Pulse ? 1 : 2);
    }

    /** The frame, ready to be sent. */
    static ByteBuffer encode(MeshFrame frame) {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.putInt(0).put(kind(frame));
        if (frame instanceof Pulse pulse) {
            putText(out, pulse.member());
            out.putLong(pulse.term());
            putText(out, pulse.leader());
            out.put((byte) (pulse.storeAnswers() ? 1 : 0)).putInt(pulse.spareMilliWrites())
                    .putInt(pulse.wantedMilliWrites());
        } else if (frame instanceof Progress progress) {
            out.putLong(progress.term()).putInt(progress.jobs().size());
            for (JobProgress job : progress.jobs()) {
                putText(out, job.job());
                out.putInt(job.done()).putInt(job.running());
            }
        }
        out.putInt(0, out.position() - PREFIX_BYTES);
        return out.flip();
    }

    /** Reads the frame that fills the buffer, which no longer holds the length. */
    static MeshFrame decode(ByteBuffer in) throws MalformedMessage {
        try {
            MeshFrame frame = switch (in.get()) {
                case 1 -> new Pulse(text(in), in.getLong(), text(in), in.get() != 0, in.getInt(), in.getInt());
                case 2 -> progress(in);
                default -> throw new MalformedMessage("unknown mesh frame");
            };
            if (in.hasRemaining()) {
                throw new MalformedMessage("mesh frame too long");
            }
            return frame;
        } catch (BufferUnderflowException e) {
            throw new MalformedMessage("mesh frame too short");
        }
    }

    private static Progress progress(ByteBuffer in) throws MalformedMessage {
        long term = in.getLong();
        int count = in.getInt();
        if (count < 0 || count > MAX_BYTES / 10) {
            throw new MalformedMessage("mesh frame with a bad count");
        }
        List<JobProgress> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(new JobProgress(text(in), in.getInt(), in.getInt()));
        }
        return new Progress(term, jobs);
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.putShort((short) bytes.length).put(bytes);
    }

    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & 0xffff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
