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
 * Scales the cluster out and in for one leader term: rents what the scheduler lacks room for, and
 * returns machines that nobody needs or that do not work. Confined to the event loop thread.
 */
public final class ScaleOutController {
  private final LeaderTerm term;
  private final CapacityPoolLimits poolLimits = new CapacityPoolLimits();
  private final RentalRequests requests;
  private final MachineListPoller machineList;
  private final MachineReconciliation reconciliation;
  private final RetiredMachineDeleter deleter;

  /** When counted machines may be requested next. */
  private long nextBudgetedMicros;

  /**
   * Creates a controller that does nothing before {@link #load}.
   *
   * @param term the leader's term
   * @param machines the machines that the leader keeps in its log
   * @param cloud client of the cloud's rental API
   */
  public ScaleOutController(LeaderTerm term, MachineRegistry machines, CloudClient cloud) {
    this.term = term;
    requests = new RentalRequests(term, machines, cloud, poolLimits);
    ListedMachines listed = new ListedMachines(term, machines, requests);
    machineList = new MachineListPoller(term, cloud, listed);
    reconciliation = new MachineReconciliation(term, machines, requests, listed, poolLimits);
    deleter = new RetiredMachineDeleter(term, machines, cloud);
  }

  /**
   * Takes over what earlier leaders stored: the budget, and the open rental requests, which are
   * sent again. From then on the machine list is polled and retired machines are deleted.
   *
   * @param found what the store holds
   * @throws MalformedMessageException if a stored record is unreadable
   */
  public void load(StoredState found) throws MalformedMessageException {
    requests.load(found);
    machineList.start();
    deleter.start();
  }

  /**
   * Whether no machine was ever rented. Until the first rental every machine that is found is an
   * owned one.
   */
  public boolean ownedStillOpen() {
    return requests.ownedStillOpen();
  }

  /** The number of rental requests whose outcome is not known yet. */
  public int underWay() {
    return requests.openCount();
  }

  /** Tells that a machine has sent its first heartbeat. */
  public void machineUp(Machine machine) {
    poolLimits.recordBoot(machine.capacityPool());
  }

  /** How many machines may still be rented against the budget now. */
  public int budgetLeft() {
    return requests.budgetLeft();
  }

  /**
   * Plans what to rent for the demand, and begins those requests. Does nothing before the machine
   * list has been read once, since the machines in it may meet the demand.
   *
   * @param demand the jobs that wait for room
   * @param nowMicros the time on the scheduler's clock
   */
  public void scaleOut(Demand demand, long nowMicros) {
    if (!machineList.readOnce() || term.cluster.types.isEmpty()) {
      return;
    }
    int budget = takeBudgetTurn(nowMicros) ? budgetLeft() : 0;
    List<ScaleOutRequest> planned =
        ScaleOutPlanner.plan(
            term.cluster,
            term.policy,
            demand,
            nowMicros,
            budget,
            pool -> mostPerRequest(pool, nowMicros),
            requests.openOfKnownTypes());
    planned.forEach(requests::begin);
  }

  /** Whether the budget may be drawn on in this round, which it may once per poll interval. */
  private boolean takeBudgetTurn(long nowMicros) {
    if (nowMicros < nextBudgetedMicros) {
      return false;
    }
    nextBudgetedMicros = nowMicros + term.policy.pollMicros();
    return true;
  }

  /** One request per pool at a time, so that its outcome is known before the next one. */
  private int mostPerRequest(CapacityPool pool, long nowMicros) {
    return requests.anyOpenFor(pool) ? 0 : poolLimits.requestLimit(pool, nowMicros);
  }

  /**
   * Compares the leader's log, the machine list and the heartbeats of each machine: retires what is
   * idle or does not work, and removes what is gone.
   *
   * @param nowMicros the time on the scheduler's clock
   * @param coverage how much of the cluster has been heard in this term
   */
  public void reconcileMachines(long nowMicros, ClusterCoverage coverage) {
    reconciliation.run(nowMicros, coverage);
  }
}
