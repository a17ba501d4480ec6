package madderrudder.coordination.scaleout;

import java.util.List;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.cloud.DeleteResult;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.state.Machine;

/**
 * Deletes retired machines in batches, one batch at a time. A machine is deleted only when its
 * retirement is durable, so that no later leader places work on it. A batch without a confirmation
 * is sent again, which is safe because the cloud ignores machines that are gone.
 */
final class RetiredMachineDeleter {
  /** The most machines that the cloud accepts in one request. */
  private static final int MAX_BATCH_SIZE = 100;

  /** How many batches may begin within one scale-out interval. */
  private static final int BATCHES_PER_SCALE_OUT_INTERVAL = 5;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final CloudClient cloud;
  private boolean batchInFlight;

  RetiredMachineDeleter(LeaderTerm term, MachineRegistry machines, CloudClient cloud) {
    this.term = term;
    this.machines = machines;
    this.cloud = cloud;
  }

  /** Starts to delete retired machines periodically, until the term ends. */
  void start() {
    term.runEvery(
        term.policy.scaleOutIntervalMicros() / BATCHES_PER_SCALE_OUT_INTERVAL,
        this::deleteNextBatch);
  }

  private void deleteNextBatch() {
    if (batchInFlight) {
      return;
    }
    List<Machine> batch = nextBatch();
    if (batch.isEmpty()) {
      return;
    }
    batchInFlight = true;
    cloud.delete(
        batch.stream().map(machine -> machine.id).toList(),
        result -> {
          if (!term.isClosed()) {
            finish(batch, result);
          }
        });
  }

  private List<Machine> nextBatch() {
    return term.cluster.machines.values().stream()
        .filter(machine -> machine.retiring && machine.retiringDurable)
        .limit(MAX_BATCH_SIZE)
        .toList();
  }

  private void finish(List<Machine> batch, DeleteResult result) {
    batchInFlight = false;
    if (result == DeleteResult.DELETED) {
      batch.forEach(machines::remove);
    }
  }
}
