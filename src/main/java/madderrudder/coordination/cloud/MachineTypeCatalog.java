package madderrudder.coordination.cloud;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.CloudCodec;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine types. Each node needs them to judge jobs, so the leader keeps a copy in the store: a
 * node that starts while the cloud is down reads that one.
 */
public final class MachineTypeCatalog {
  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCatalog.class);
  private static final long RETRY_MICROS = 1_000_000;
  private static final long REFRESH_MICROS = 60_000_000;

  private final Scheduler scheduler;
  private final StoreClient store;
  private final CloudClient cloud;
  private Map<String, MachineType> types = Map.of();
  private byte[] text;
  private Runnable onRefresh = () -> {};

  public MachineTypeCatalog(Scheduler scheduler, StoreClient store, CloudClient cloud) {
    this.scheduler = scheduler;
    this.store = store;
    this.cloud = cloud;
  }

  public void start() {
    fromStore();
  }

  public boolean known() {
    return !types.isEmpty();
  }

  public Map<String, MachineType> types() {
    return types;
  }

  /** What the cloud last said, or null. */
  public byte[] text() {
    return text;
  }

  public void onRefresh(Runnable action) {
    onRefresh = action;
  }

  private void fromStore() {
    store.get(
        Keys.CATALOG,
        reply -> {
          if (reply.is(Outcome.OK)) {
            accept(reply.value().value());
          }
          fromCloud();
        });
  }

  private void fromCloud() {
    cloud.catalog(
        response -> {
          boolean fresh = false;
          if (response.ok()) {
            try {
              Fields fields = Json.readObject(response.body());
              fresh = accept(fields);
              text = response.body();
              onRefresh.run();
            } catch (MalformedMessageException e) {
              LOG.info("the catalogue is unreadable: {}", e.getMessage());
            }
          }
          scheduler.after(
              fresh ? REFRESH_MICROS : RETRY_MICROS, known() ? this::fromCloud : this::fromStore);
        });
  }

  private boolean accept(Fields fields) {
    try {
      List<MachineType> read = CloudCodec.readCatalog(fields);
      Map<String, MachineType> named = new LinkedHashMap<>();
      for (MachineType type : read) {
        named.put(type.name(), type);
      }
      types = named;
      return !named.isEmpty();
    } catch (MalformedMessageException e) {
      LOG.info("the catalogue is unreadable: {}", e.getMessage());
      return false;
    }
  }
}
