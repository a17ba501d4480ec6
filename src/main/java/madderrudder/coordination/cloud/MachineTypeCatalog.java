package madderrudder.coordination.cloud;

import java.util.LinkedHashMap;
import java.util.Map;
import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.CloudCodec;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine types that the cloud offers, refreshed once a minute. Each controller needs them to
 * validate jobs, so the leader keeps a copy in the store: a controller that starts during an outage
 * of the cloud reads that copy. Confined to the event loop thread.
 */
public final class MachineTypeCatalog {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final long RETRY_MICROS = 1_000_000;
  private static final long REFRESH_MICROS = 60_000_000;

  private final Scheduler scheduler;
  private final StoreClient store;
  private final CloudClient cloud;
  private Map<String, MachineType> types = Map.of();
  private byte[] latestJson;
  private Runnable refreshListener = () -> {};

  /**
   * Creates an empty catalog. It reads nothing before {@link #start()}.
   *
   * @param scheduler timers of the event loop
   * @param store the store that holds the leader's copy
   * @param cloud the client that reads the catalog from the cloud
   */
  public MachineTypeCatalog(Scheduler scheduler, StoreClient store, CloudClient cloud) {
    this.scheduler = scheduler;
    this.store = store;
    this.cloud = cloud;
  }

  /**
   * Reads the store's copy and then the cloud's catalog, and refreshes it from then on. Call it
   * once.
   */
  public void start() {
    readFromStore();
  }

  /** Whether any machine type has been read, from the store or from the cloud. */
  public boolean hasTypes() {
    return !types.isEmpty();
  }

  /** Returns the machine types by name, in catalog order; empty until {@link #hasTypes()}. */
  public Map<String, MachineType> types() {
    return types;
  }

  /** Returns the JSON text that the cloud sent last; null if this process has received none. */
  public byte[] latestJson() {
    return latestJson;
  }

  /**
   * Sets the listener that runs after each catalog received from the cloud, when {@link
   * #latestJson()} already returns it. Replaces the previous listener, which belongs to an earlier
   * term.
   */
  public void onRefresh(Runnable listener) {
    refreshListener = listener;
  }

  private void readFromStore() {
    store.get(
        Keys.CATALOG,
        reply -> {
          if (reply.is(Outcome.OK)) {
            replaceTypes(reply.value().value());
          }
          readFromCloud();
        });
  }

  private void readFromCloud() {
    cloud.catalog(
        result -> {
          long delayMicros = refresh(result) ? REFRESH_MICROS : RETRY_MICROS;
          scheduler.runAfter(delayMicros, hasTypes() ? this::readFromCloud : this::readFromStore);
        });
  }

  /**
   * Stores a catalog received from the cloud and runs the listener.
   *
   * @return true if the catalog is valid and has at least one machine type
   */
  private boolean refresh(CloudResult<CatalogDocument> result) {
    if (result instanceof CloudResult.Received<CatalogDocument> received) {
      boolean hasTypes = replaceTypes(received.value().fields());
      latestJson = received.value().json();
      refreshListener.run();
      return hasTypes;
    }
    if (result instanceof CloudResult.Malformed<CatalogDocument> malformed) {
      LOG.info("the machine type catalog is malformed: {}", malformed.reason());
    }
    return false;
  }

  /**
   * Replaces the machine types by those of the catalog if it is valid.
   *
   * @return true if the catalog is valid and has at least one machine type
   */
  private boolean replaceTypes(JsonFields catalog) {
    try {
      Map<String, MachineType> typesByName = new LinkedHashMap<>();
      for (MachineType type : CloudCodec.readCatalog(catalog)) {
        typesByName.put(type.name(), type);
      }
      types = typesByName;
      return !typesByName.isEmpty();
    } catch (MalformedMessageException e) {
      LOG.info("the machine type catalog is malformed: {}", e.getMessage());
      return false;
    }
  }
}
