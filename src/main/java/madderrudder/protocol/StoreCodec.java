package madderrudder.protocol;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Messages exchanged with the state service. */
public final class StoreCodec {
  /** A stored value. {@code value} is null where an event says that the key was dropped. */
  public record Item(String key, Fields value, long version) {}

  /** A page of a range, or a batch of changes; {@code revision} is what it reaches up to. */
  public record Page(List<Item> items, boolean more, long revision) {}

  /** A write of a transaction. {@code value} is null for a deletion; lease 0 attaches to none. */
  public record Write(String key, byte[] value, long lease) {
    public static Write put(String key, byte[] value) {
      return new Write(key, value, 0);
    }

    public static Write drop(String key) {
      return new Write(key, null, 0);
    }
  }

  /** A condition of a transaction; version 0 demands that the key does not exist. */
  public record Condition(String key, long version) {}

  private StoreCodec() {}

  public static byte[] commit(List<Condition> conditions, List<Write> writes) {
    return Json.object(
        out -> {
          out.writeArrayFieldStart("when");
          for (Condition condition : conditions) {
            out.writeStartObject();
            out.writeStringField("path", condition.key());
            out.writeNumberField("entry", condition.version());
            out.writeEndObject();
          }
          out.writeEndArray();
          out.writeArrayFieldStart("writes");
          for (Write write : writes) {
            out.writeStartObject();
            if (write.value() == null) {
              out.writeStringField("drop", write.key());
            } else {
              out.writeStringField("write", write.key());
              out.writeFieldName("data");
              out.writeRawValue(new String(write.value(), StandardCharsets.UTF_8));
              if (write.lease() != 0) {
                out.writeNumberField("mooring", write.lease());
              }
            }
            out.writeEndObject();
          }
          out.writeEndArray();
        });
  }

  public static byte[] hold(long lifeMicros) {
    return Json.object(out -> out.writeNumberField("life_ms", lifeMicros / 1000));
  }

  public static long readLease(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).count("mooring");
  }

  public static long readRevision(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).count("logline");
  }

  public static List<String> readFailed(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).texts("failed");
  }

  public static Item readItem(byte[] body) throws MalformedMessageException {
    return item(Json.readObject(body));
  }

  private static Item item(Fields in) throws MalformedMessageException {
    return new Item(in.text("path"), in.object("data"), in.count("entry"));
  }

  public static Page readRange(byte[] body) throws MalformedMessageException {
    Fields in = Json.readObject(body);
    List<Item> items = new ArrayList<>();
    for (Fields row : in.objects("rows")) {
      items.add(item(row));
    }
    return new Page(items, in.flag("more", false), in.count("logline"));
  }

  public static Page readEvents(byte[] body) throws MalformedMessageException {
    Fields in = Json.readObject(body);
    List<Item> items = new ArrayList<>();
    if (in.has("news")) {
      for (Fields event : in.objects("news")) {
        items.add(
            event.has("drop")
                ? new Item(event.text("drop"), null, event.count("entry"))
                : new Item(event.text("write"), event.object("data"), event.count("entry")));
      }
    }
    return new Page(items, false, in.count("logline"));
  }
}
