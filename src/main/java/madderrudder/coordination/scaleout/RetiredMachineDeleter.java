package madderrudder.coordination.scaleout;

import java.util.List;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.cloud.DeleteResult;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.state.Machine;

/**
 * Deletes retired machines in batches, one batch at a time. A machine is deleted only once its
 * retirement is durable: a later leader must not place work on it. A batch without a confirmation
 * is sent again, since the cloud ignores machines that are gone.
 */
final class RetiredMachineDeleter {
  /** The most machines that the cloud takes in one request. */
  private static final int MAX_BATCH = 100;

  /** How often a batch may begin within the operators' poll interval. */
  private static final int RUNS_PER_POLL = 5;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final CloudClient cloud;
  private boolean batchInFlight;

  RetiredMachineDeleter(LeaderTerm term, MachineRegistry machines, CloudClient cloud) {
    this.term = term;
    this.machines = machines;
    this.cloud = cloud;
  }

  void start() {
    term.every(term.policy.pollMicros() / RUNS_PER_POLL, this::deleteNextBatch);
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
          if (!term.closed()) {
            finish(batch, result);
          }
        });
  }

  private List<Machine> nextBatch() {
    return term.cluster.machines.values().stream()
        .filter(machine -> machine.retiring && machine.retiringDurable)
        .limit(MAX_BATCH)
        .toList();
  }

  private void finish(List<Machine> batch, DeleteResult result) {
    batchInFlight = false;
    if (result == DeleteResult.DELETED) {
      batch.forEach(machines::remove);
    }
  }
}
