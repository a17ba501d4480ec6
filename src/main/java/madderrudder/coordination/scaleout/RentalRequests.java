package madderrudder.coordination.scaleout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.cloud.RentResult;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.registry.StoredState;
import madderrudder.coordination.state.CapacityPool;
import madderrudder.coordination.state.CapacityPoolLimits;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.persistence.Keys;
import madderrudder.persistence.RentalRecord;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.KeyValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries rental requests from their intent to their outcome. The intent and its reservation on the
 * budget are durable before the request is sent to the cloud. The request is retried under the same
 * id, which is its idempotency key, also by later leaders, until its outcome is known. So no
 * machine is rented without being counted, and none is rented twice.
 */
final class RentalRequests {
  private static final Logger LOG = LoggerFactory.getLogger(RentalRequests.class);
  private static final long RETRY_INTERVAL_MICROS = 1_000_000;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final CloudClient cloud;
  private final CapacityPoolLimits poolLimits;
  private final RentalIntents intents;

  /** The requests whose outcome is not known yet, by request id, oldest first. */
  private final Map<String, RentalRecord> pendingRequests = new LinkedHashMap<>();

  RentalRequests(
      LeaderTerm term, MachineRegistry machines, CloudClient cloud, CapacityPoolLimits poolLimits) {
    this.term = term;
    this.machines = machines;
    this.cloud = cloud;
    this.poolLimits = poolLimits;
    intents = new RentalIntents(term);
  }

  /**
   * Loads the budget and the pending requests that earlier leaders stored, and sends the requests
   * again.
   */
  void load(StoredState storedState) throws MalformedMessageException {
    intents.load(storedState);
    for (KeyValue item : storedState.pendingRentals()) {
      String requestId = item.key().substring(Keys.RENTALS.length());
      RentalRecord rental = RentalRecord.read(requestId, item.value());
      pendingRequests.put(requestId, rental);
      send(rental);
    }
  }

  /**
   * Returns whether no machine was ever rented, so that each discovered machine is an owned one.
   */
  boolean noMachineRentedYet() {
    return intents.noMachineRentedYet();
  }

  /** Returns how many machines may still be rented against the budget at present. */
  int budgetLeft() {
    return intents.budgetLeft();
  }

  /** Returns the number of requests whose outcome is not known yet. */
  int pendingCount() {
    return pendingRequests.size();
  }

  /** Returns the pending requests for machine types that the catalog still contains. */
  List<ScaleOutRequest> pendingOfKnownTypes() {
    List<ScaleOutRequest> known = new ArrayList<>();
    for (RentalRecord rental : pendingRequests.values()) {
      if (term.cluster.types.containsKey(rental.type())) {
        known.add(scaleOutRequest(rental));
      }
    }
    return known;
  }

  /** Returns whether a request for this type, zone and kind of rental is pending. */
  boolean hasPending(CapacityPool pool) {
    return pendingRequests.values().stream().anyMatch(rental -> pool(rental).equals(pool));
  }

  private static CapacityPool pool(RentalRecord rental) {
    return new CapacityPool(rental.type(), rental.zone(), rental.spot());
  }

  private ScaleOutRequest scaleOutRequest(RentalRecord rental) {
    return new ScaleOutRequest(
        term.cluster.types.get(rental.type()),
        rental.zone(),
        rental.spot(),
        rental.count(),
        rental.countsAgainstBudget());
  }

  /**
   * Reserves the machines on the budget, and sends the request when its intent is durable. Does
   * nothing if the request counts against the budget and exceeds what remains of it.
   */
  void submit(ScaleOutRequest request) {
    if (request.countsAgainstBudget() && !intents.reserve(request.count())) {
      return;
    }
    String requestId = term.nextScaleOutRequestId();
    RentalRecord rental =
        new RentalRecord(
            requestId,
            request.type().name(),
            request.zone(),
            request.spot(),
            request.count(),
            request.countsAgainstBudget());
    pendingRequests.put(requestId, rental);
    LOG.info(
        "renting {} {} in {}{}{}, request {}",
        request.count(),
        request.type().name(),
        request.zone(),
        request.spot() ? " spot" : "",
        request.countsAgainstBudget() ? ", counted against the budget" : "",
        requestId);
    intents.put(rental, this::send);
  }

  private void send(RentalRecord rental) {
    if (!term.cluster.types.containsKey(rental.type())) {
      retryLater(rental);
      return;
    }
    cloud.rent(
        rental.requestId(),
        scaleOutRequest(rental),
        result -> {
          if (!term.isClosed()) {
            handle(rental, result);
          }
        });
  }

  private void retryLater(RentalRecord rental) {
    term.runAfter(RETRY_INTERVAL_MICROS, () -> send(rental));
  }

  private void handle(RentalRecord rental, RentResult result) {
    if (result instanceof RentResult.Rented rented) {
      LOG.info("rented {} for request {}", rented.machineIds(), rental.requestId());
      complete(rental, rented.machineIds());
    } else if (result instanceof RentResult.NoCapacity) {
      LOG.info("no capacity for request {}", rental.requestId());
      complete(rental, List.of());
    } else if (result instanceof RentResult.Rejected) {
      LOG.error("cloud rejected request {} as malformed", rental.requestId());
      complete(rental, List.of());
    } else {
      if (result instanceof RentResult.Malformed malformed) {
        LOG.info(
            "response to request {} is malformed, retrying the request: {}",
            rental.requestId(),
            malformed.reason());
      }
      retryLater(rental);
    }
  }

  /**
   * Completes a request whose outcome is known: adds the rented machines, and deletes the intent.
   */
  private void complete(RentalRecord rental, List<String> machineIds) {
    poolLimits.recordAnswer(
        pool(rental), rental.count(), machineIds.size(), term.scheduler.nowMicros());
    pendingRequests.remove(rental.requestId());
    for (String machineId : machineIds) {
      addIfNew(rental, machineId);
    }
    intents.delete(rental);
  }

  /**
   * Adds a rented machine, unless it is known from the machine list or has already been removed.
   */
  private void addIfNew(RentalRecord rental, String machineId) {
    if (term.cluster.machines.containsKey(machineId) || machines.wasRemoved(machineId)) {
      return;
    }
    Machine machine =
        machines.add(
            machineId,
            rental.type(),
            rental.zone(),
            rental.spot(),
            false,
            term.scheduler.wallClockMicros());
    machines.queueRecord(machine);
  }
}
