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
 * Reads the stored state at the start of a term and loads it into the cluster state. Confined to
 * the event loop thread.
 */
final class StateLoader {
  private static final Logger LOG = LoggerFactory.getLogger(StateLoader.class);
  private static final long CATALOG_RETRY_INTERVAL_MICROS = 250_000;

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

  /**
   * Reads the stored state and loads it once the machine type catalog is known. Steps down if a
   * record is malformed.
   *
   * @param onLoaded run once the state is loaded
   */
  void load(Runnable onLoaded) {
    long readStartMicros = term.scheduler.nowMicros();
    StoredStateReader.read(
        term, storedState -> loadWhenCatalogKnown(storedState, readStartMicros, onLoaded));
  }

  private void loadWhenCatalogKnown(
      StoredState storedState, long readStartMicros, Runnable onLoaded) {
    if (!catalog.hasTypes()) {
      term.runAfter(
          CATALOG_RETRY_INTERVAL_MICROS,
          () -> loadWhenCatalogKnown(storedState, readStartMicros, onLoaded));
      return;
    }
    term.cluster.types = catalog.types();
    try {
      loadStoredState(storedState, readStartMicros);
    } catch (MalformedMessageException e) {
      LOG.error("malformed record in the store, stepping down: {}", e.getMessage());
      term.election.stepDown("the store contains malformed records");
      return;
    }
    onLoaded.run();
  }

  private void loadStoredState(StoredState storedState, long readStartMicros)
      throws MalformedMessageException {
    jobs.load(storedState, readStartMicros);
    machines.load(storedState.logSegments());
    term.cluster.machines.values().forEach(delegation::extendLeaseForEarlierLeader);
    scaleOut.load(storedState);
    if (term.learnedRunTimes != null) {
      term.learnedRunTimes.load(storedState.runTimePages());
      term.learnedRunTimes.startPersisting();
    }
  }
}
