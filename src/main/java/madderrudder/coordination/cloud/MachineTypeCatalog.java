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
 * The machine types that the cloud offers, refreshed once a minute. Each controller node needs them
 * to judge jobs, so the leader keeps a copy in the store: a node that starts while the cloud is
 * down reads that copy. Confined to the event loop thread.
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
   * Creates an empty catalog; nothing is read before {@link #start()}.
   *
   * @param scheduler timers of the event loop
   * @param store where the leader keeps the copy
   * @param cloud where the types come from
   */
  public MachineTypeCatalog(Scheduler scheduler, StoreClient store, CloudClient cloud) {
    this.scheduler = scheduler;
    this.store = store;
    this.cloud = cloud;
  }

  /** Reads the store's copy and then the cloud's catalog, and keeps refreshing. Call it once. */
  public void start() {
    readFromStore();
  }

  /** Whether any machine type is known yet, from the store or from the cloud. */
  public boolean known() {
    return !types.isEmpty();
  }

  /** The machine types by name, in the order of the catalog; empty until {@link #known()}. */
  public Map<String, MachineType> types() {
    return types;
  }

  /** The JSON text that the cloud sent last, or null if this process has received none yet. */
  public byte[] latestJson() {
    return latestJson;
  }

  /**
   * Sets the listener that runs each time the cloud has sent a catalog, after {@link #latestJson()}
   * has changed. It replaces the listener set before, which belongs to an earlier term.
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
          scheduler.after(delayMicros, known() ? this::readFromCloud : this::readFromStore);
        });
  }

  /** Takes over what the cloud sent; whether it named any machine type. */
  private boolean refresh(CloudResult<CatalogDocument> result) {
    if (result instanceof CloudResult.Received<CatalogDocument> received) {
      boolean anyType = replaceTypes(received.value().fields());
      latestJson = received.value().json();
      refreshListener.run();
      return anyType;
    }
    if (result instanceof CloudResult.Malformed<CatalogDocument> malformed) {
      LOG.info("the machine type catalog is malformed: {}", malformed.reason());
    }
    return false;
  }

  /** Replaces the types by those of the document if it is valid; whether it named any. */
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
