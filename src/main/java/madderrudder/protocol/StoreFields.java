package madderrudder.protocol;

/**
 * The names of the fields of messages to and from the state service, which is a consensus-backed
 * key-value store. The protocol gives them themed names; each constant is named for the standard
 * term that the rest of the program uses.
 */
final class StoreFields {
  /** A key, in an item and in a condition. */
  static final String KEY = "path";

  /** A value. */
  static final String VALUE = "data";

  /** The version of a key: the revision of its last change. */
  static final String VERSION = "entry";

  /** The id of a lease that keys can be attached to. */
  static final String LEASE = "mooring";

  /** The time to live of a lease in milliseconds. */
  static final String LEASE_MILLIS = "life_ms";

  /** The revision of the whole store, which counts all changes. */
  static final String REVISION = "logline";

  /** The items of a range. */
  static final String ITEMS = "rows";

  /** Whether a range has further items. */
  static final String MORE = "more";

  /** The conditions of a transaction (compare-and-swap). */
  static final String CONDITIONS = "when";

  /** The writes of a transaction. */
  static final String WRITES = "writes";

  /** The key of a put, in a transaction and in a change that a watch delivers. */
  static final String PUT = "write";

  /** The key of a deletion, in a transaction and in a change that a watch delivers. */
  static final String DELETE = "drop";

  /** The keys whose conditions did not hold. */
  static final String FAILED = "failed";

  /** The changes that a watch delivers. */
  static final String EVENTS = "news";

  private StoreFields() {}
}
