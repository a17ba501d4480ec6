package madderrudder.coordination.scaleout;

import java.util.List;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.registry.StoredState;
import madderrudder.coordination.scheduling.Demand;
import madderrudder.coordination.scheduling.ScaleOutPlanner;
import madderrudder.coordination.state.CapacityPool;
import madderrudder.coordination.state.CapacityPoolLimits;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.protocol.MalformedMessageException;

/**
 * Scales the cluster out and in for one leader term: rents machines for jobs that lack capacity,
 * and returns machines that no job needs or that do not work. Confined to the event loop thread.
 */
public final class ScaleOutController {
  private final LeaderTerm term;
  private final CapacityPoolLimits poolLimits = new CapacityPoolLimits();
  private final RentalRequests requests;
  private final MachineListPoller listPoller;
  private final MachineReconciliation reconciliation;
  private final RetiredMachineDeleter deleter;

  /** The earliest time of the next request for machines that count against the budget. */
  private long nextCountedRequestMicros;

  /**
   * Creates a controller that is inactive until {@link #load}.
   *
   * @param term the leader's term
   * @param machines the registry of the machines in the leader's log
   * @param cloud client of the cloud's rental API
   */
  public ScaleOutController(LeaderTerm term, MachineRegistry machines, CloudClient cloud) {
    this.term = term;
    requests = new RentalRequests(term, machines, cloud, poolLimits);
    MachineListTracker tracker = new MachineListTracker(term, machines, requests);
    listPoller = new MachineListPoller(term, cloud, tracker);
    reconciliation = new MachineReconciliation(term, machines, requests, tracker, poolLimits);
    deleter = new RetiredMachineDeleter(term, machines, cloud);
  }

  /**
   * Loads the budget and the pending rental requests that earlier leaders stored, and sends these
   * requests again. Then starts to poll the machine list and to delete retired machines.
   *
   * @param storedState the records in the store
   * @throws MalformedMessageException if a stored record is unreadable
   */
  public void load(StoredState storedState) throws MalformedMessageException {
    requests.load(storedState);
    listPoller.start();
    deleter.start();
  }

  /**
   * Returns whether no machine was ever rented. Until the first rental, each discovered machine is
   * an owned one.
   */
  public boolean noMachineRentedYet() {
    return requests.noMachineRentedYet();
  }

  /** Returns the number of rental requests whose outcome is not known yet. */
  public int pendingRequestCount() {
    return requests.pendingCount();
  }

  /** Records that a machine has booted and sent its first heartbeat. */
  public void recordMachineUp(Machine machine) {
    poolLimits.recordBoot(machine.capacityPool());
  }

  /** Returns how many machines may still be rented against the budget at present. */
  public int budgetLeft() {
    return requests.budgetLeft();
  }

  /**
   * Plans rentals for the demand, and submits their requests. Does nothing until a complete machine
   * list has been read, since the listed machines may meet the demand.
   *
   * @param demand the jobs that wait for capacity
   * @param nowMicros the current time of the monotonic clock in microseconds
   */
  public void scaleOut(Demand demand, long nowMicros) {
    if (!listPoller.hasReadCompleteList() || term.cluster.types.isEmpty()) {
      return;
    }
    int budget = reserveBudgetRound(nowMicros) ? budgetLeft() : 0;
    List<ScaleOutRequest> planned =
        ScaleOutPlanner.plan(
            term.cluster,
            term.policy,
            demand,
            nowMicros,
            budget,
            pool -> maxMachinesPerRequest(pool, nowMicros),
            requests.pendingOfKnownTypes());
    planned.forEach(requests::submit);
  }

  /**
   * Returns whether this round may draw on the budget, as one round per scale-out interval may. If
   * so, starts the next interval.
   */
  private boolean reserveBudgetRound(long nowMicros) {
    if (nowMicros < nextCountedRequestMicros) {
      return false;
    }
    nextCountedRequestMicros = nowMicros + term.policy.scaleOutIntervalMicros();
    return true;
  }

  /**
   * Returns the most machines that a request for the pool may name. Only one request per pool is in
   * flight, so that its outcome is known before the next request.
   */
  private int maxMachinesPerRequest(CapacityPool pool, long nowMicros) {
    return requests.hasPending(pool) ? 0 : poolLimits.requestLimit(pool, nowMicros);
  }

  /**
   * Compares the leader's log, the machine list and the heartbeats of each machine: retires
   * machines that are idle or do not work, and removes machines that are gone.
   *
   * @param nowMicros the current time of the monotonic clock in microseconds
   * @param coverage how much of the cluster has sent heartbeats in this term
   */
  public void reconcileMachines(long nowMicros, ClusterCoverage coverage) {
    reconciliation.run(nowMicros, coverage);
  }
}
