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
 * The rental records in the store: the intents of pending requests, the budget on which they are
 * reserved, and the owned machines, which existed before the first rental.
 */
final class RentalIntents {
  private static final Logger LOG = LoggerFactory.getLogger(RentalIntents.class);

  private final LeaderTerm term;
  private final RentalBudget budget;

  /** Whether the owned machines are in the store; the first rental intent writes them. */
  private boolean ownedMachinesRecorded;

  RentalIntents(LeaderTerm term) {
    this.term = term;
    budget =
        new RentalBudget(
            term.policy.budget(),
            term.policy.budgetWindowMicros(),
            term.deployment.maxClockErrorMicros());
  }

  /** Loads the budget that earlier leaders stored, and whether any of them rented a machine. */
  void load(StoredState storedState) throws MalformedMessageException {
    if (storedState.rentalBudget().isPresent()) {
      budget.load(storedState.rentalBudget().get().value());
    }
    ownedMachinesRecorded = storedState.ownedMachinesRecorded();
  }

  /**
   * Returns whether no machine was ever rented, so that each discovered machine is an owned one.
   */
  boolean noMachineRentedYet() {
    return !ownedMachinesRecorded;
  }

  /** Returns how many machines may still be rented against the budget at present. */
  int budgetLeft() {
    return budget.remaining(term.scheduler.wallClockMicros());
  }

  /**
   * Reserves machines on the budget; returns false, and reserves none, if the budget has fewer
   * left.
   */
  boolean reserve(int count) {
    return budget.reserve(count, term.scheduler.wallClockMicros());
  }

  /**
   * Queues the write of an intent with its reservation.
   *
   * @param rental the intent
   * @param onDurable receives the intent when it is durable
   */
  void put(RentalRecord rental, Consumer<RentalRecord> onDurable) {
    term.commitQueue.add(new PutRentalIntent(rental, onDurable), Urgency.IMMEDIATE);
  }

  /**
   * Queues the deletion of an intent. The intent has to be durable already, since the queue merges
   * changes of the same name.
   */
  void delete(RentalRecord rental) {
    term.commitQueue.add(new DeleteRentalIntent(rental.requestId()), Urgency.NORMAL);
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
   * Writes the intent with its reservation on the budget, and the owned machines if this is the
   * first rental of the cluster. The request may be sent when the write is durable.
   */
  private final class PutRentalIntent implements PendingChange {
    private final RentalRecord rental;
    private final Consumer<RentalRecord> onDurable;
    private boolean writesOwnedMachines;

    PutRentalIntent(RentalRecord rental, Consumer<RentalRecord> onDurable) {
      this.rental = rental;
      this.onDurable = onDurable;
    }

    @Override
    public String name() {
      return Keys.rental(rental.requestId());
    }

    @Override
    public List<Write> writes() {
      List<Write> writes = new ArrayList<>();
      writes.add(Write.put(Keys.rental(rental.requestId()), rental.encode()));
      if (rental.countsAgainstBudget()) {
        writes.add(Write.put(Keys.BUDGET, budget.encode()));
      }
      writesOwnedMachines = !ownedMachinesRecorded;
      if (writesOwnedMachines) {
        writes.add(Write.put(Keys.OWNED, renderOwnedMachines()));
      }
      return writes;
    }

    @Override
    public void committed() {
      ownedMachinesRecorded |= writesOwnedMachines;
      onDurable.accept(rental);
    }
  }

  /**
   * Deletes the intent of a request whose outcome is known. The rented machines have their own
   * records, which are written before the deletion or with it.
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
      LOG.debug("deleted the intent of completed request {}", requestId);
    }
  }
}
