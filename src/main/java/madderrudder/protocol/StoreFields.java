package madderrudder.protocol;

/**
 * Field names of messages to and from the store. The wire protocol uses nautical names; each
 * constant is named after the standard term that the rest of the program uses.
 */
final class StoreFields {
  /** The key of an item or of a condition. */
  static final String KEY = "path";

  /** The value of an item, of a put or of a change. */
  static final String VALUE = "data";

  /** The version of a key: the revision of its last change. */
  static final String VERSION = "entry";

  /** The id of a granted lease, or of the lease that a put attaches its key to. */
  static final String LEASE_ID = "mooring";

  /** The time to live of a lease in milliseconds. */
  static final String LEASE_TTL_MILLIS = "life_ms";

  /** The revision of the store, which increases with each change of any key. */
  static final String REVISION = "logline";

  /** The items of a range. */
  static final String ITEMS = "rows";

  /** Whether the range continues after the items of the page. */
  static final String MORE = "more";

  /** The conditions of a transaction, for compare-and-swap. */
  static final String CONDITIONS = "when";

  /** The writes of a transaction. */
  static final String WRITES = "writes";

  /** The key of a put, in a transaction or in a change that a watch delivers. */
  static final String PUT = "write";

  /** The key of a deletion, in a transaction or in a change that a watch delivers. */
  static final String DELETE = "drop";

  /** The keys whose conditions did not hold in a refused transaction. */
  static final String FAILED_KEYS = "failed";

  /** The changes that a watch delivers. */
  static final String EVENTS = "news";

  private StoreFields() {}
}
