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
 * Polls the cloud's machine list page by page, and passes it to {@link MachineListTracker}. If a
 * page cannot be read, the poller starts again from the first page.
 */
final class MachineListPoller {
  private static final Logger LOG = LoggerFactory.getLogger(MachineListPoller.class);
  private static final long RETRY_INTERVAL_MICROS = 1_000_000;

  private final LeaderTerm term;
  private final CloudClient cloud;
  private final MachineListTracker tracker;
  private boolean completeListRead;

  MachineListPoller(LeaderTerm term, CloudClient cloud, MachineListTracker tracker) {
    this.term = term;
    this.cloud = cloud;
    this.tracker = tracker;
  }

  /** Returns whether a complete list has been read in this term. */
  boolean hasReadCompleteList() {
    return completeListRead;
  }

  /**
   * Starts to read the list from its first page. After each complete list the next one follows,
   * until the term ends.
   */
  void start() {
    readPage("", new HashSet<>());
  }

  private void readPage(String afterId, Set<String> listedIds) {
    cloud.list(
        afterId,
        result -> {
          if (!term.isClosed()) {
            handle(result, listedIds);
          }
        });
  }

  private void handle(CloudResult<CloudCodec.Page> result, Set<String> listedIds) {
    if (result instanceof CloudResult.Received<CloudCodec.Page> received) {
      handlePage(received.value(), listedIds);
      return;
    }
    if (result instanceof CloudResult.Malformed<CloudCodec.Page> malformed) {
      LOG.info("machine list is malformed, reading it again: {}", malformed.reason());
    }
    term.runAfter(RETRY_INTERVAL_MICROS, this::start);
  }

  private void handlePage(CloudCodec.Page page, Set<String> listedIds) {
    List<CloudCodec.ListedMachine> entries = page.machines();
    for (CloudCodec.ListedMachine entry : entries) {
      listedIds.add(entry.id());
      tracker.observe(entry);
    }
    if (page.more() && !entries.isEmpty()) {
      readPage(entries.get(entries.size() - 1).id(), listedIds);
      return;
    }
    completeListRead = true;
    tracker.observeCompleteList(listedIds);
    term.runAfter(term.deployment.cloud().listLagMicros(), this::start);
  }
}
