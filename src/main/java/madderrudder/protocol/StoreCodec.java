package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Encodes requests to the store and decodes its responses. */
public final class StoreCodec {
  /**
   * A key with its value, or a change of a key that a watch delivers.
   *
   * @param key the key
   * @param value the value; null if a watch reports that the key was deleted
   * @param version the store's revision at the key's last change
   */
  public record KeyValue(String key, JsonFields value, long version) {}

  /**
   * A page of a range of keys, or a batch of changes that a watch delivers.
   *
   * @param items the items of the range in key order, or the changes in the order of their
   *     revisions
   * @param more whether the range continues after these items; false for changes
   * @param revision the revision of the store that the response reflects
   */
  public record Page(List<KeyValue> items, boolean more, long revision) {}

  /**
   * A put or a deletion in a transaction.
   *
   * @param key the key
   * @param value the value as JSON text; null for a deletion
   * @param lease the lease that the key is attached to; 0 for none
   */
  public record Write(String key, byte[] value, long lease) {
    /** Returns a put of a value that is attached to no lease. */
    public static Write put(String key, byte[] value) {
      return new Write(key, value, 0);
    }

    /** Returns a deletion of the key. */
    public static Write delete(String key) {
      return new Write(key, null, 0);
    }
  }

  /**
   * A condition of a transaction.
   *
   * @param key the key
   * @param version the version that the key must have; 0 requires that the key does not exist
   */
  public record Condition(String key, long version) {}

  private StoreCodec() {}

  /** Encodes the body of a transaction: the store applies the writes if all conditions hold. */
  public static byte[] commitRequest(List<Condition> conditions, List<Write> writes) {
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
        out.writeNumberField(StoreFields.LEASE_ID, write.lease());
      }
    }
    out.writeEndObject();
  }

  /**
   * Encodes the body of a request for a lease.
   *
   * @param ttlMicros the time after which the lease expires unless it is renewed
   */
  public static byte[] leaseRequest(long ttlMicros) {
    return Json.object(out -> out.writeNumberField(StoreFields.LEASE_TTL_MILLIS, ttlMicros / 1000));
  }

  /**
   * Reads the id of a granted lease.
   *
   * @throws MalformedMessageException if the id is missing or invalid
   */
  public static long readLease(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).count(StoreFields.LEASE_ID);
  }

  /**
   * Reads the revision of the store.
   *
   * @throws MalformedMessageException if the revision is missing or invalid
   */
  public static long readRevision(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).count(StoreFields.REVISION);
  }

  /**
   * Reads the keys whose conditions did not hold, from the response to a refused transaction.
   *
   * @throws MalformedMessageException if the list is missing or invalid
   */
  public static List<String> readFailedKeys(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).texts(StoreFields.FAILED_KEYS);
  }

  /**
   * Reads one key with its value.
   *
   * @throws MalformedMessageException if a field is missing or invalid
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
   * @throws MalformedMessageException if a field is missing or invalid
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
   * Reads the changes that a watch delivers; there are none if the watch timed out. The protocol
   * does not define the order in which the response lists them, so they are sorted by revision: the
   * last change of a key determines its state.
   *
   * @throws MalformedMessageException if a field is missing or invalid
   */
  public static Page readEvents(byte[] body) throws MalformedMessageException {
    JsonFields in = Json.readObject(body);
    List<KeyValue> changes = new ArrayList<>();
    if (in.has(StoreFields.EVENTS)) {
      for (JsonFields event : in.objects(StoreFields.EVENTS)) {
        changes.add(readEvent(event));
      }
    }
    changes.sort(Comparator.comparingLong(KeyValue::version));
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
