package madderrudder.coordination.scaleout;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.cloud.CloudResult;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.protocol.CloudCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the cloud's machine list over and over, page by page, and hands it to {@link
 * ListedMachines}. A list of which one page could not be read is begun anew.
 */
final class MachineListPoller {
  private static final Logger LOG = LoggerFactory.getLogger(MachineListPoller.class);
  private static final long RETRY_MICROS = 1_000_000;

  private final LeaderTerm term;
  private final CloudClient cloud;
  private final ListedMachines listed;
  private boolean readOnce;

  MachineListPoller(LeaderTerm term, CloudClient cloud, ListedMachines listed) {
    this.term = term;
    this.cloud = cloud;
    this.listed = listed;
  }

  /** Whether a whole list has been read in this term. */
  boolean readOnce() {
    return readOnce;
  }

  /** Reads a list from its first page, and then one after another until the term ends. */
  void start() {
    readPage("", new HashSet<>());
  }

  private void readPage(String afterId, Set<String> idsSoFar) {
    cloud.list(
        afterId,
        result -> {
          if (!term.closed()) {
            handle(result, idsSoFar);
          }
        });
  }

  private void handle(CloudResult<CloudCodec.Page> result, Set<String> idsSoFar) {
    if (result instanceof CloudResult.Received<CloudCodec.Page> received) {
      handlePage(received.value(), idsSoFar);
      return;
    }
    if (result instanceof CloudResult.Malformed<CloudCodec.Page> malformed) {
      LOG.info("the machine list is malformed: {}", malformed.reason());
    }
    term.after(RETRY_MICROS, this::start);
  }

  private void handlePage(CloudCodec.Page page, Set<String> idsSoFar) {
    List<CloudCodec.ListedMachine> entries = page.machines();
    for (CloudCodec.ListedMachine entry : entries) {
      idsSoFar.add(entry.id());
      listed.observe(entry);
    }
    if (page.more() && !entries.isEmpty()) {
      readPage(entries.get(entries.size() - 1).id(), idsSoFar);
      return;
    }
    readOnce = true;
    listed.observeWholeList(idsSoFar);
    term.after(term.deployment.cloud().listLagMicros(), this::start);
  }
}
