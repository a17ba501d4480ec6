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
 * The rental requests from their intent to their outcome. The intent and its reservation on the
 * budget are durable before the cloud is called, and the call is repeated under the same request
 * id, by later leaders too, until its outcome is known: so that no machine is rented without being
 * counted, and none is rented twice.
 */
final class RentalRequests {
  private static final Logger LOG = LoggerFactory.getLogger(RentalRequests.class);
  private static final long RETRY_MICROS = 1_000_000;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final CloudClient cloud;
  private final CapacityPoolLimits poolLimits;
  private final RentalIntents intents;

  /** By request id, oldest first; those whose outcome is not known yet. */
  private final Map<String, RentalRecord> openRequests = new LinkedHashMap<>();

  RentalRequests(
      LeaderTerm term, MachineRegistry machines, CloudClient cloud, CapacityPoolLimits poolLimits) {
    this.term = term;
    this.machines = machines;
    this.cloud = cloud;
    this.poolLimits = poolLimits;
    intents = new RentalIntents(term);
  }

  /** Takes over the budget and the open requests of earlier leaders, and sends these again. */
  void load(StoredState found) throws MalformedMessageException {
    intents.load(found);
    for (KeyValue item : found.rentals()) {
      String requestId = item.key().substring(Keys.RENTALS.length());
      RentalRecord rental = RentalRecord.read(requestId, item.value());
      openRequests.put(requestId, rental);
      send(rental);
    }
  }

  /** Whether no machine was ever rented, so that each machine that is found is an owned one. */
  boolean ownedStillOpen() {
    return intents.ownedStillOpen();
  }

  /** How many machines may still be rented against the budget now. */
  int budgetLeft() {
    return intents.budgetLeft();
  }

  /** The number of requests whose outcome is not known yet. */
  int openCount() {
    return openRequests.size();
  }

  /** The open requests for machine types that the catalog still has. */
  List<ScaleOutRequest> openOfKnownTypes() {
    List<ScaleOutRequest> known = new ArrayList<>();
    for (RentalRecord rental : openRequests.values()) {
      if (term.cluster.types.containsKey(rental.type())) {
        known.add(request(rental));
      }
    }
    return known;
  }

  /** Whether a request of this type, zone and kind is open. */
  boolean anyOpenFor(CapacityPool pool) {
    return openRequests.values().stream().anyMatch(rental -> pool(rental).equals(pool));
  }

  private static CapacityPool pool(RentalRecord rental) {
    return new CapacityPool(rental.type(), rental.zone(), rental.spot());
  }

  private ScaleOutRequest request(RentalRecord rental) {
    return new ScaleOutRequest(
        term.cluster.types.get(rental.type()),
        rental.zone(),
        rental.spot(),
        rental.count(),
        rental.counted());
  }

  /**
   * Reserves the machines on the budget, and sends the request once its intent is durable. Does
   * nothing if a counted request does not fit into the budget.
   */
  void begin(ScaleOutRequest request) {
    if (request.counted() && !intents.reserve(request.count())) {
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
            request.counted());
    openRequests.put(requestId, rental);
    LOG.info(
        "renting {} {} in {}{}{}, request {}",
        request.count(),
        request.type().name(),
        request.zone(),
        request.spot() ? " spot" : "",
        request.counted() ? ", counted against the budget" : "",
        requestId);
    intents.put(rental, this::send);
  }

  private void send(RentalRecord rental) {
    if (!term.cluster.types.containsKey(rental.type())) {
      retryLater(rental);
      return;
    }
    cloud.rent(
        rental.request(),
        request(rental),
        result -> {
          if (!term.closed()) {
            handle(rental, result);
          }
        });
  }

  private void retryLater(RentalRecord rental) {
    term.after(RETRY_MICROS, () -> send(rental));
  }

  private void handle(RentalRecord rental, RentResult result) {
    if (result instanceof RentResult.Rented rented) {
      LOG.info("rented {} for request {}", rented.machineIds(), rental.request());
      complete(rental, rented.machineIds());
    } else if (result instanceof RentResult.NoCapacity) {
      LOG.info("no capacity for request {}", rental.request());
      complete(rental, List.of());
    } else if (result instanceof RentResult.Rejected) {
      LOG.error("the cloud rejects request {} as malformed", rental.request());
      complete(rental, List.of());
    } else {
      if (result instanceof RentResult.Malformed malformed) {
        LOG.info(
            "the response to request {} is malformed: {}", rental.request(), malformed.reason());
      }
      retryLater(rental);
    }
  }

  /** The outcome is known: adds the rented machines, and drops the intent. */
  private void complete(RentalRecord rental, List<String> machineIds) {
    poolLimits.recordAnswer(
        pool(rental), rental.count(), machineIds.size(), term.scheduler.nowMicros());
    openRequests.remove(rental.request());
    for (String machineId : machineIds) {
      addIfNew(rental, machineId);
    }
    intents.delete(rental);
  }

  /** The machine may be known from the list, and may even have been deleted again. */
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
            term.scheduler.wallMicros());
    machines.save(machine);
  }
}
