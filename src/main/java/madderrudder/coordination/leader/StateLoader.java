package madderrudder.coordination.leader;

import madderrudder.coordination.cloud.MachineTypeCatalog;
import madderrudder.coordination.registry.JobRegistry;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.registry.StoredState;
import madderrudder.coordination.registry.StoredStateReader;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.protocol.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the stored state at the begin of a term and loads it into the cluster state. Confined to
 * the event loop thread.
 */
final class StateLoader {
  private static final Logger LOG = LoggerFactory.getLogger(StateLoader.class);
  private static final long CATALOG_RETRY_MICROS = 250_000;

  private final LeaderTerm term;
  private final MachineTypeCatalog catalog;
  private final MachineRegistry machines;
  private final JobRegistry jobs;
  private final ScaleOutController scaleOut;
  private final DelegationGrants delegation;

  StateLoader(
      LeaderTerm term,
      MachineTypeCatalog catalog,
      MachineRegistry machines,
      JobRegistry jobs,
      ScaleOutController scaleOut,
      DelegationGrants delegation) {
    this.term = term;
    this.catalog = catalog;
    this.machines = machines;
    this.jobs = jobs;
    this.scaleOut = scaleOut;
    this.delegation = delegation;
  }

  /** Reads the state and runs the action once it is loaded; steps down if it is malformed. */
  void load(Runnable onLoaded) {
    long readMicros = term.scheduler.nowMicros();
    StoredStateReader.read(term, found -> loadWhenCatalogKnown(found, readMicros, onLoaded));
  }

  private void loadWhenCatalogKnown(StoredState found, long readMicros, Runnable onLoaded) {
    if (!catalog.known()) {
      term.after(CATALOG_RETRY_MICROS, () -> loadWhenCatalogKnown(found, readMicros, onLoaded));
      return;
    }
    term.cluster.types = catalog.types();
    try {
      loadAll(found, readMicros);
    } catch (MalformedMessageException e) {
      LOG.error("malformed record in the store: {}", e.getMessage());
      term.election.stepDown("malformed records");
      return;
    }
    onLoaded.run();
  }

  private void loadAll(StoredState found, long readMicros) throws MalformedMessageException {
    jobs.load(found, readMicros);
    machines.load(found.logSegments());
    term.cluster.machines.values().forEach(delegation::allowForEarlierLeader);
    scaleOut.load(found);
    if (term.learned != null) {
      term.learned.load(found.runTimes());
      term.learned.startPersisting();
    }
  }
}
