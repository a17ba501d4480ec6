package madderrudder.bookkeeping;

import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessage;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/**
 * The value kept for a machine: where it comes from, and which tasks may be on it. What a task takes
 * is kept too, since its job may be over, and its record gone, while the task is still there. The images
 * it has kept are a help only: a new leader places better if it knows them.
 */
public record MachineRecord(String id, String type, String zone, boolean spot, boolean owned, boolean retiring,
        long rentedWallMicros, List<Entry> entries, List<Image> images) {

    /** What {@link #images} adds to the text at the most. */
    public static final int IMAGES_BYTES = 1024;
    private static final int IMAGE_BYTES = 24;

    /** An image that the machine has kept, the one used last at the end. */
    public record Image(String name, double gb) {
    }

    /** A task that may be on the machine. */
    public record Entry(TaskId task, long attempt, String team, Resources takes) {
    }

    public byte[] render() {
        return Json.object(out -> {
            out.writeStringField("type", type);
            out.writeStringField("zone", zone);
            out.writeBooleanField("spot", spot);
            out.writeBooleanField("owned", owned);
            out.writeBooleanField("retiring", retiring);
            out.writeNumberField("rented_us", rentedWallMicros);
            out.writeArrayFieldStart("entries");
            for (Entry entry : entries) {
                out.writeStartObject();
                out.writeStringField("t", entry.task().toString());
                out.writeNumberField("a", entry.attempt());
                out.writeStringField("w", entry.team());
                out.writeNumberField("c", entry.takes().milliCpus());
                out.writeNumberField("g", entry.takes().milliGpus());
                out.writeNumberField("m", entry.takes().memoryMb());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeArrayFieldStart("images");
            for (Image image : newestThatFit()) {
                out.writeStartObject();
                out.writeStringField("i", image.name());
                out.writeNumberField("gb", image.gb());
                out.writeEndObject();
            }
            out.writeEndArray();
        });
    }

    private List<Image> newestThatFit() {
        int bytes = 0;
        int from = images.size();
        while (from > 0 && bytes + images.get(from - 1).name().length() + IMAGE_BYTES <= IMAGES_BYTES) {
            bytes += images.get(--from).name().length() + IMAGE_BYTES;
        }
        return images.subList(from, images.size());
    }

    public static MachineRecord read(String id, Fields in) throws MalformedMessage {
        List<Entry> entries = new ArrayList<>();
        for (Fields entry : in.objects("entries")) {
            entries.add(new Entry(TaskId.parse(entry.text("t")), entry.count("a"), entry.text("w"),
                    new Resources(entry.count("c"), entry.count("g"), entry.count("m"))));
        }
        List<Image> images = new ArrayList<>();
        if (in.has("images")) {
            for (Fields image : in.objects("images")) {
                images.add(new Image(image.text("i"), image.amount("gb")));
            }
        }
        return new MachineRecord(id, in.text("type"), in.text("zone"), in.flag("spot"), in.flag("owned"),
                in.flag("retiring"), in.count("rented_us"), entries, images);
    }
}
