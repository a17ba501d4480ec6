package madderrudder.coordination.leader;

import java.util.List;
import madderrudder.coordination.cloud.MachineTypeCatalog;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.Keys;
import madderrudder.persistence.PendingChange;
import madderrudder.protocol.StoreCodec.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the machine type catalog to the store after each refresh, so that a controller can start
 * while the cloud is unavailable. Confined to the event loop thread.
 */
final class CatalogPersister {
  private static final Logger LOG = LoggerFactory.getLogger(CatalogPersister.class);

  private final LeaderTerm term;
  private final MachineTypeCatalog catalog;

  CatalogPersister(LeaderTerm term, MachineTypeCatalog catalog) {
    this.term = term;
    this.catalog = catalog;
  }

  /**
   * Stores the catalog now and after each refresh, until the term ends. A catalog that does not fit
   * into one value of the store is not stored.
   */
  void start() {
    catalog.onRefresh(this::save);
    save();
  }

  private void save() {
    byte[] json = catalog.latestJson();
    if (!term.isClosed() && json != null && json.length < term.deployment.state().valueBytes()) {
      term.commitQueue.add(new CatalogChange(json), Urgency.DEFERRED);
    }
  }

  private record CatalogChange(byte[] json) implements PendingChange {
    @Override
    public String name() {
      return Keys.CATALOG;
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.put(Keys.CATALOG, json));
    }

    @Override
    public void committed() {
      LOG.debug("machine type catalog stored");
    }
  }
}
