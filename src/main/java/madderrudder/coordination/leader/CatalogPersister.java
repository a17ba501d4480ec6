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
 * Stores the machine type catalog with each refresh, for controllers that start while the cloud is
 * down. Confined to the event loop thread.
 */
final class CatalogPersister {
  private static final Logger LOG = LoggerFactory.getLogger(CatalogPersister.class);

  private final LeaderTerm term;
  private final MachineTypeCatalog catalog;

  CatalogPersister(LeaderTerm term, MachineTypeCatalog catalog) {
    this.term = term;
    this.catalog = catalog;
  }

  /** Stores the catalog now and with each refresh, until the term ends. */
  void start() {
    catalog.onRefresh(this::save);
    save();
  }

  private void save() {
    byte[] text = catalog.latestJson();
    if (!term.closed() && text != null && text.length < term.deployment.state().valueBytes()) {
      term.commits.add(new CatalogChange(text), Urgency.LATER);
    }
  }

  private record CatalogChange(byte[] text) implements PendingChange {
    @Override
    public String name() {
      return Keys.CATALOG;
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.put(Keys.CATALOG, text));
    }

    @Override
    public void committed() {
      LOG.debug("machine type catalog stored");
    }
  }
}
