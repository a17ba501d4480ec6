package madderrudder.coordination.scaleout;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.StoredState;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.Keys;
import madderrudder.persistence.PendingChange;
import madderrudder.persistence.RentalBudget;
import madderrudder.persistence.RentalRecord;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the store keeps of rentals: the intents of open requests, the budget they are reserved on,
 * and the machines that were there before the first of them.
 */
final class RentalIntents {
  private static final Logger LOG = LoggerFactory.getLogger(RentalIntents.class);

  private final LeaderTerm term;
  private final RentalBudget budget;

  /** Whether the owned machines are in the store, where the first intent of all puts them. */
  private boolean ownedRecorded;

  RentalIntents(LeaderTerm term) {
    this.term = term;
    budget =
        new RentalBudget(
            term.policy.budget(),
            term.policy.budgetWindowMicros(),
            term.deployment.clockOffMicros());
  }

  /** Takes over the budget of earlier leaders, and whether any of them rented a machine. */
  void load(StoredState found) throws MalformedMessageException {
    if (found.rentalBudget().isPresent()) {
      budget.load(found.rentalBudget().get().value());
    }
    ownedRecorded = found.ownedMachinesRecorded();
  }

  /** Whether no machine was ever rented, so that each machine that is found is an owned one. */
  boolean ownedStillOpen() {
    return !ownedRecorded;
  }

  /** How many machines may still be rented against the budget now. */
  int budgetLeft() {
    return budget.left(term.scheduler.wallMicros());
  }

  /** Reserves machines on the budget; false, and nothing reserved, if that many are not left. */
  boolean reserve(int count) {
    return budget.reserve(count, term.scheduler.wallMicros());
  }

  /**
   * Queues the intent to be written, with its reservation.
   *
   * @param rental the intent
   * @param onDurable receives the intent once it is durable
   */
  void put(RentalRecord rental, Consumer<RentalRecord> onDurable) {
    term.commits.add(new PutRentalIntent(rental, onDurable), Urgency.FIRST);
  }

  /**
   * Queues the intent to be deleted. It has to be durable already, since the queue takes changes of
   * the same name for one.
   */
  void delete(RentalRecord rental) {
    term.commits.add(new DeleteRentalIntent(rental.request()), Urgency.SOON);
  }

  private byte[] renderOwnedMachines() {
    return Json.object(
        out -> {
          out.writeArrayFieldStart("machines");
          for (Machine machine : term.cluster.machines.values()) {
            if (machine.owned) {
              out.writeString(machine.id);
            }
          }
          out.writeEndArray();
        });
  }

  /**
   * Writes the intent with its reservation on the budget, and with the owned machines if this is
   * the first rental of all. The request may be sent once that is durable.
   */
  private final class PutRentalIntent implements PendingChange {
    private final RentalRecord rental;
    private final Consumer<RentalRecord> onDurable;
    private boolean recordsOwned;

    PutRentalIntent(RentalRecord rental, Consumer<RentalRecord> onDurable) {
      this.rental = rental;
      this.onDurable = onDurable;
    }

    @Override
    public String name() {
      return Keys.rental(rental.request());
    }

    @Override
    public List<Write> writes() {
      List<Write> writes = new ArrayList<>();
      writes.add(Write.put(Keys.rental(rental.request()), rental.render()));
      if (rental.counted()) {
        writes.add(Write.put(Keys.BUDGET, budget.render()));
      }
      recordsOwned = !ownedRecorded;
      if (recordsOwned) {
        writes.add(Write.put(Keys.OWNED, renderOwnedMachines()));
      }
      return writes;
    }

    @Override
    public void committed() {
      ownedRecorded |= recordsOwned;
      onDurable.accept(rental);
    }
  }

  /**
   * Deletes the intent of a request whose outcome is known. The rented machines are in their own
   * records, written before this or with it.
   */
  private record DeleteRentalIntent(String requestId) implements PendingChange {
    @Override
    public String name() {
      return Keys.rental(requestId);
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.delete(Keys.rental(requestId)));
    }

    @Override
    public void committed() {
      LOG.debug("outcome of request {} is recorded", requestId);
    }
  }
}
