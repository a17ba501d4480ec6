package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes the messages exchanged with the state service, the key-value store. */
public final class StoreCodec {
  /**
   * A key with its value, or a change of it.
   *
   * @param key the key
   * @param value the value; null where a watch says that the key was deleted
   * @param version the revision of the key's last change
   */
  public record KeyValue(String key, JsonFields value, long version) {}

  /**
   * A page of a range, or a batch of changes.
   *
   * @param items the items in key order, or the changes in the order in which they were made
   * @param more whether the range goes on behind them
   * @param revision the revision of the store that the answer reflects
   */
  public record Page(List<KeyValue> items, boolean more, long revision) {}

  /**
   * A write of a transaction.
   *
   * @param key the key
   * @param value the value as JSON text; null for a deletion
   * @param lease the lease that the key is attached to; 0 for none
   */
  public record Write(String key, byte[] value, long lease) {
    /** Puts a value that belongs to no lease. */
    public static Write put(String key, byte[] value) {
      return new Write(key, value, 0);
    }

    /** Deletes a key. */
    public static Write delete(String key) {
      return new Write(key, null, 0);
    }
  }

  /**
   * A condition of a transaction.
   *
   * @param key the key
   * @param version the version that the key must have; 0 demands that the key does not exist
   */
  public record Condition(String key, long version) {}

  private StoreCodec() {}

  /** The body of a transaction: the writes are made if all the conditions hold. */
  public static byte[] commit(List<Condition> conditions, List<Write> writes) {
    return Json.object(
        out -> {
          out.writeArrayFieldStart(StoreFields.CONDITIONS);
          for (Condition condition : conditions) {
            writeCondition(out, condition);
          }
          out.writeEndArray();
          out.writeArrayFieldStart(StoreFields.WRITES);
          for (Write write : writes) {
            writeWrite(out, write);
          }
          out.writeEndArray();
        });
  }

  private static void writeCondition(JsonGenerator out, Condition condition) throws IOException {
    out.writeStartObject();
    out.writeStringField(StoreFields.KEY, condition.key());
    out.writeNumberField(StoreFields.VERSION, condition.version());
    out.writeEndObject();
  }

  private static void writeWrite(JsonGenerator out, Write write) throws IOException {
    out.writeStartObject();
    if (write.value() == null) {
      out.writeStringField(StoreFields.DELETE, write.key());
    } else {
      out.writeStringField(StoreFields.PUT, write.key());
      out.writeFieldName(StoreFields.VALUE);
      out.writeRawValue(new String(write.value(), StandardCharsets.UTF_8));
      if (write.lease() != 0) {
        out.writeNumberField(StoreFields.LEASE, write.lease());
      }
    }
    out.writeEndObject();
  }

  /** The body of a request for a lease that lives so long unless it is renewed. */
  public static byte[] leaseRequest(long lifeMicros) {
    return Json.object(out -> out.writeNumberField(StoreFields.LEASE_MILLIS, lifeMicros / 1000));
  }

  /**
   * Reads the id of a granted lease.
   *
   * @throws MalformedMessageException if the body has none
   */
  public static long readLease(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).count(StoreFields.LEASE);
  }

  /**
   * Reads the revision of the store.
   *
   * @throws MalformedMessageException if the body has none
   */
  public static long readRevision(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).count(StoreFields.REVISION);
  }

  /**
   * Reads the keys whose conditions did not hold.
   *
   * @throws MalformedMessageException if the body does not list them
   */
  public static List<String> readFailed(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).texts(StoreFields.FAILED);
  }

  /**
   * Reads one key with its value.
   *
   * @throws MalformedMessageException if the body is not such an answer
   */
  public static KeyValue readItem(byte[] body) throws MalformedMessageException {
    return readItem(Json.readObject(body));
  }

  private static KeyValue readItem(JsonFields in) throws MalformedMessageException {
    return new KeyValue(
        in.text(StoreFields.KEY), in.object(StoreFields.VALUE), in.count(StoreFields.VERSION));
  }

  /**
   * Reads a page of a range of keys.
   *
   * @throws MalformedMessageException if the body is not such a page
   */
  public static Page readRange(byte[] body) throws MalformedMessageException {
    JsonFields in = Json.readObject(body);
    List<KeyValue> items = new ArrayList<>();
    for (JsonFields item : in.objects(StoreFields.ITEMS)) {
      items.add(readItem(item));
    }
    return new Page(items, in.flag(StoreFields.MORE, false), in.count(StoreFields.REVISION));
  }

  /**
   * Reads the changes that a watch delivers; there are none if its time ran out.
   *
   * @throws MalformedMessageException if the body is not such an answer
   */
  public static Page readEvents(byte[] body) throws MalformedMessageException {
    JsonFields in = Json.readObject(body);
    List<KeyValue> changes = new ArrayList<>();
    if (in.has(StoreFields.EVENTS)) {
      for (JsonFields event : in.objects(StoreFields.EVENTS)) {
        changes.add(readEvent(event));
      }
    }
    return new Page(changes, false, in.count(StoreFields.REVISION));
  }

  private static KeyValue readEvent(JsonFields in) throws MalformedMessageException {
    if (in.has(StoreFields.DELETE)) {
      return new KeyValue(in.text(StoreFields.DELETE), null, in.count(StoreFields.VERSION));
    }
    return new KeyValue(
        in.text(StoreFields.PUT), in.object(StoreFields.VALUE), in.count(StoreFields.VERSION));
  }
}
