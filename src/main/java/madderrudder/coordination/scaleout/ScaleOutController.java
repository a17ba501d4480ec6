package madderrudder.coordination.scaleout;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import madderrudder.coordination.cloud.CloudClient;
import madderrudder.coordination.reconciliation.Confidence;
import madderrudder.coordination.reconciliation.MachineDecision;
import madderrudder.coordination.reconciliation.MachineFacts;
import madderrudder.coordination.reconciliation.MachineFacts.Listed;
import madderrudder.coordination.reconciliation.MachineFacts.Recorded;
import madderrudder.coordination.reconciliation.MachineFacts.Worker;
import madderrudder.coordination.reconciliation.MachineReconciler;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.registry.StoredStateReader;
import madderrudder.coordination.scheduling.Demand;
import madderrudder.coordination.scheduling.ScaleOutPlanner;
import madderrudder.coordination.state.CapacityPoolLimits;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.Keys;
import madderrudder.persistence.PendingChange;
import madderrudder.persistence.RentalBudget;
import madderrudder.persistence.RentalRecord;
import madderrudder.protocol.CloudCodec;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.Item;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines. The intent and its reservation on the budget are durable before the
 * cloud is called, and the call is repeated under the same name until its fate is known.
 */
public final class ScaleOutController {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleOutController.class);
  private static final long RETRY_MICROS = 1_000_000;
  private static final int BOOT_FACTOR = 4;
  private static final int MOST_DELETED = 100;

  /**
   * A list lags by up to twice what it usually does, and a request may take as long again until it
   * shows.
   */
  private static final int LONGEST_LAG = 4;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final CloudClient cloud;
  private final RentalBudget budget;
  private final Map<String, RentalRecord> open = new LinkedHashMap<>();
  private final CapacityPoolLimits poolLimits = new CapacityPoolLimits();
  private final Map<String, Long> unexpectedSince = new HashMap<>();

  /**
   * The machines that the last whole list did not have, though it must have had them were they
   * there.
   */
  private final Set<String> missing = new HashSet<>();

  private boolean ownedSealed;
  private boolean listed;
  private boolean deleting;
  private long nextPollMicros;

  /** Since when work could be placed, as far as that was interrupted in this term. */
  private long placingSinceMicros = Long.MIN_VALUE / 2;

  public ScaleOutController(LeaderTerm term, MachineRegistry machines, CloudClient cloud) {
    this.term = term;
    this.machines = machines;
    this.cloud = cloud;
    budget =
        new RentalBudget(
            term.policy.budget(),
            term.policy.budgetWindowMicros(),
            term.deployment.clockOffMicros());
  }

  public void load(StoredStateReader.Found found) throws MalformedMessageException {
    Item spent = found.singles().get(Keys.BUDGET);
    if (spent != null) {
      budget.load(spent.value());
    }
    ownedSealed = found.singles().containsKey(Keys.OWNED);
    for (Item item : found.under(Keys.RENTALS)) {
      String request = item.key().substring(Keys.RENTALS.length());
      RentalRecord rental = RentalRecord.read(request, item.value());
      open.put(request, rental);
      call(rental);
    }
    list("", new TreeSet<>());
    term.every(term.policy.pollMicros() / 5, this::deleteRetired);
  }

  /** Machines found before the first rental are the owned ones. */
  public boolean ownedStillOpen() {
    return !ownedSealed;
  }

  public int underWay() {
    return open.size();
  }

  /** A machine has reported for the first time. */
  public void machineUp(Machine machine) {
    poolLimits.booted(machine.capacityPool());
  }

  public int budgetLeft() {
    return budget.left(term.scheduler.wallMicros());
  }

  /** Rents what the plan asks for. */
  public void scaleOut(Demand demand, long nowMicros) {
    if (!listed || term.cluster.types.isEmpty()) {
      return;
    }
    boolean poll = nowMicros >= nextPollMicros;
    if (poll) {
      nextPollMicros = nowMicros + term.policy.pollMicros();
    }
    List<ScaleOutRequest> underWay = new ArrayList<>();
    for (RentalRecord record : open.values()) {
      if (term.cluster.types.containsKey(record.type())) {
        underWay.add(rental(record));
      }
    }
    List<ScaleOutRequest> wanted =
        ScaleOutPlanner.plan(
            term.cluster,
            term.policy,
            demand,
            nowMicros,
            poll ? budgetLeft() : 0,
            shelf -> asked(shelf) ? 0 : poolLimits.most(shelf, nowMicros),
            underWay);
    for (ScaleOutRequest rental : wanted) {
      begin(rental);
    }
  }

  /** One request at a time for what may run out, so that its answer is known before the next. */
  private boolean asked(ScaleOutRequest.CapacityPool shelf) {
    return open.values().stream()
        .anyMatch(
            r ->
                r.type().equals(shelf.type())
                    && r.zone().equals(shelf.zone())
                    && r.spot() == shelf.spot());
  }

  private ScaleOutRequest rental(RentalRecord record) {
    return new ScaleOutRequest(
        term.cluster.types.get(record.type()),
        record.zone(),
        record.spot(),
        record.count(),
        record.counted());
  }

  private void begin(ScaleOutRequest rental) {
    if (rental.counted() && !budget.reserve(rental.count(), term.scheduler.wallMicros())) {
      return;
    }
    String request = term.nextScaleOutRequestId();
    RentalRecord record =
        new RentalRecord(
            request,
            rental.type().name(),
            rental.zone(),
            rental.spot(),
            rental.count(),
            rental.counted());
    open.put(request, record);
    LOG.info(
        "renting {} {} in {}{}{} as {}",
        rental.count(),
        rental.type().name(),
        rental.zone(),
        rental.spot() ? " spot" : "",
        rental.counted() ? ", counted" : "",
        request);
    term.commits.add(new IntentChange(record), Urgency.FIRST);
  }

  private void call(RentalRecord record) {
    if (!term.cluster.types.containsKey(record.type())) {
      term.after(RETRY_MICROS, () -> call(record));
      return;
    }
    cloud.rent(
        record.request(),
        rental(record),
        response -> {
          if (!term.closed()) {
            answered(record, response);
          }
        });
  }

  private void answered(RentalRecord record, HttpResponse response) {
    ScaleOutRequest.CapacityPool shelf =
        new ScaleOutRequest.CapacityPool(record.type(), record.zone(), record.spot());
    if (response.ok()) {
      try {
        List<String> machineIds = CloudCodec.readRented(response.body());
        LOG.info("rented {} for {}", machineIds, record.request());
        poolLimits.answered(shelf, record.count(), machineIds.size(), term.scheduler.nowMicros());
        settle(record, machineIds);
        return;
      } catch (MalformedMessageException e) {
        LOG.info("the answer to {} is unreadable: {}", record.request(), e.getMessage());
      }
    } else if (response.status() == 503
        && new String(response.body(), StandardCharsets.UTF_8).contains("no capacity")) {
      LOG.info("no capacity for {}", record.request());
      poolLimits.answered(shelf, record.count(), 0, term.scheduler.nowMicros());
      settle(record, List.of());
      return;
    } else if (response.status() == 400) {
      LOG.error("the cloud calls {} malformed", record.request());
      poolLimits.answered(shelf, record.count(), 0, term.scheduler.nowMicros());
      settle(record, List.of());
      return;
    }
    term.after(RETRY_MICROS, () -> call(record));
  }

  private void settle(RentalRecord record, List<String> machineIds) {
    open.remove(record.request());
    for (String id : machineIds) {
      if (!term.cluster.machines.containsKey(id) && !machines.wasRemoved(id)) {
        Machine machine =
            machines.add(
                id,
                record.type(),
                record.zone(),
                record.spot(),
                false,
                term.scheduler.wallMicros());
        machines.save(machine);
      }
    }
    term.commits.add(new SettledChange(record.request()), Urgency.SOON);
  }

  /**
   * Squares log, list and reports: gives back what nobody needs and what does not work, and lets go
   * of what is gone.
   */
  public void reconcileMachines(long nowMicros, Confidence confidence) {
    // An outage of the store that outlasts leases empties all machines, and has them unheard, since
    // their reports are not
    // answered. They once went back during it, and those who had waited through it waited for boots
    // and images as well.
    if (!term.election.holdsLease()) {
      placingSinceMicros = nowMicros;
    }
    boolean settled = nowMicros - placingSinceMicros > term.policy.idleMicros();
    int up = 0;
    int silent = 0;
    for (Machine machine : term.cluster.machines.values()) {
      if (machine.leaseExpired) {
        silent++;
      } else if (machine.reported) {
        up++;
      }
    }
    for (Machine machine : List.copyOf(term.cluster.machines.values())) {
      MachineDecision finding =
          MachineReconciler.of(facts(machine, nowMicros, up <= silent), ownedStillOpen());
      boolean idle = machine.reported && !machine.leaseExpired && !machine.failed;
      // Idle is what nobody needs, which is known only once the picture is good.
      if (finding.verdict() == MachineDecision.Verdict.RETURN
          && settled
          && (!idle || confidence.suffices())) {
        // One that an earlier leader has rented may have come up, and died since.
        if (machine.booting() && !machine.inherited) {
          poolLimits.bootFailed(machine.capacityPool(), nowMicros);
        }
        machines.retire(machine, finding.reason());
      } else if (finding.verdict() == MachineDecision.Verdict.GONE) {
        LOG.info("{} is gone: {}", machine.id, finding.reason());
        machines.remove(machine);
      }
    }
  }

  private MachineFacts facts(Machine machine, long nowMicros, boolean mostSilent) {
    Listed listed =
        machine.failed
            ? Listed.FAILED
            : missing.contains(machine.id) ? Listed.MISSING : Listed.UNKNOWN;
    return new MachineFacts(
        Recorded.YES,
        machine.owned,
        machine.retiring,
        listed,
        worker(machine, nowMicros),
        machine.empty(),
        mostSilent);
  }

  private Worker worker(Machine machine, long nowMicros) {
    if (machine.leaseExpired) {
      return Worker.LEASE_EXPIRED;
    }
    if (machine.unacknowledgedFor(nowMicros, term.safety.leaseMicros())
        && !machine.missedHeartbeat(nowMicros, term.deployment.workers().reportMicros())) {
      return Worker.UNACKNOWLEDGED;
    }
    if (machine.reported) {
      return machine.empty() && nowMicros - machine.idleSinceMicros > term.policy.idleMicros()
          ? Worker.IDLE
          : machine.missedHeartbeat(nowMicros, term.deployment.workers().reportMicros())
              ? Worker.SILENT
              : Worker.REPORTS;
    }
    long age = term.scheduler.wallMicros() - machine.rentedWallMicros;
    // One that has been up for long may not have found its way to a new leader yet.
    return nowMicros - machine.discoveredMicros > 2 * term.safety.leaseMicros()
            && age > Math.max(BOOT_FACTOR * machine.type.bootMicros(), term.policy.idleMicros())
        ? Worker.OVERDUE
        : Worker.EXPECTED;
  }

  private void deleteRetired() {
    if (deleting) {
      return;
    }
    List<Machine> batch = new ArrayList<>();
    List<String> names = new ArrayList<>();
    for (Machine machine : term.cluster.machines.values()) {
      if (machine.retiring && machine.retiringDurable && batch.size() < MOST_DELETED) {
        batch.add(machine);
        names.add(machine.id);
      }
    }
    if (batch.isEmpty()) {
      return;
    }
    deleting = true;
    cloud.delete(
        names,
        response -> {
          if (term.closed()) {
            return;
          }
          deleting = false;
          if (response.ok()) {
            batch.forEach(machines::remove);
          }
        });
  }

  private void list(String since, Set<String> seen) {
    cloud.list(
        since,
        response -> {
          if (term.closed()) {
            return;
          }
          CloudCodec.Page page = null;
          if (response.ok()) {
            try {
              page = CloudCodec.readPage(response.body());
            } catch (MalformedMessageException e) {
              LOG.info("the machine list is unreadable: {}", e.getMessage());
            }
          }
          if (page == null) {
            term.after(RETRY_MICROS, () -> list("", new TreeSet<>()));
            return;
          }
          for (CloudCodec.ListedMachine machine : page.machines()) {
            seen.add(machine.id());
            note(machine);
          }
          if (page.more() && !page.machines().isEmpty()) {
            list(page.machines().get(page.machines().size() - 1).id(), seen);
            return;
          }
          listed = true;
          unexpectedSince.keySet().retainAll(seen);
          noteMissing(seen);
          term.after(term.deployment.cloud().listLagMicros(), () -> list("", new TreeSet<>()));
        });
  }

  /**
   * A list lags by twice the usual lag at most, and a machine once listed stays listed until it is
   * gone. One that is older than any lag and not in the list is gone, with all that was on it: its
   * tasks need not wait for the end of a lease.
   */
  private void noteMissing(Set<String> seen) {
    missing.clear();
    long lagMicros =
        LONGEST_LAG * term.deployment.cloud().listLagMicros()
            + 2 * term.deployment.clockOffMicros();
    for (Machine machine : term.cluster.machines.values()) {
      if (!seen.contains(machine.id)
          && term.scheduler.wallMicros() - machine.rentedWallMicros > lagMicros) {
        missing.add(machine.id);
      }
    }
  }

  private void note(CloudCodec.ListedMachine listed) {
    Machine machine = term.cluster.machines.get(listed.id());
    if (machine != null) {
      if (machine.addr.isEmpty()) {
        machine.addr = listed.addr();
      }
      machine.failed |= listed.state() == CloudCodec.MachineState.FAILED;
      return;
    }
    if (term.cluster.types.isEmpty()) {
      return;
    }
    // A machine that this leader just rented may be listed before the answer names it, and one that
    // an
    // earlier leader returned is listed for a while. What stays is unexpected, and is used or
    // returned.
    boolean ownedOpen = ownedStillOpen() && open.isEmpty();
    long now = term.scheduler.nowMicros();
    long since = ownedOpen ? now : unexpectedSince.computeIfAbsent(listed.id(), id -> now);
    boolean lasting = now - since > LONGEST_LAG * term.deployment.cloud().listLagMicros();
    MachineDecision finding =
        MachineReconciler.of(
            new MachineFacts(
                machines.wasRemoved(listed.id()) ? Recorded.GONE : Recorded.NO,
                false,
                false,
                lasting ? Listed.LASTING : Listed.THERE,
                Worker.EXPECTED,
                true,
                false),
            ownedOpen);
    switch (finding.verdict()) {
      case ADOPT_OWNED -> machines.save(adopt(listed, true));
      case ADOPT -> machines.save(adopt(listed, false));
      default -> {}
    }
  }

  private Machine adopt(CloudCodec.ListedMachine listed, boolean owned) {
    LOG.info(
        "found {} ({} {}), {}",
        listed.id(),
        listed.type(),
        listed.zone(),
        owned ? "owned" : "unexpected");
    Machine machine =
        machines.add(
            listed.id(),
            listed.type(),
            listed.zone(),
            listed.spot(),
            owned,
            term.scheduler.wallMicros() - listed.ageMicros());
    machine.addr = listed.addr();
    return machine;
  }

  /** The intent, its reservation, and the owned machines if this is the first rental of all. */
  private final class IntentChange implements PendingChange {
    private final RentalRecord record;
    private boolean sealing;

    IntentChange(RentalRecord record) {
      this.record = record;
    }

    @Override
    public String name() {
      return Keys.rental(record.request());
    }

    @Override
    public List<Write> writes() {
      List<Write> writes = new ArrayList<>();
      writes.add(Write.put(Keys.rental(record.request()), record.render()));
      if (record.counted()) {
        writes.add(Write.put(Keys.BUDGET, budget.render()));
      }
      sealing = !ownedSealed;
      if (sealing) {
        writes.add(
            Write.put(
                Keys.OWNED,
                Json.object(
                    out -> {
                      out.writeArrayFieldStart("machines");
                      for (Machine machine : term.cluster.machines.values()) {
                        if (machine.owned) {
                          out.writeString(machine.id);
                        }
                      }
                      out.writeEndArray();
                    })));
      }
      return writes;
    }

    @Override
    public void committed() {
      ownedSealed |= sealing;
      call(record);
    }
  }

  /** The rental's answer is in the machines' own records, written before or with this. */
  private record SettledChange(String request) implements PendingChange {
    @Override
    public String name() {
      return Keys.rental(request);
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.delete(Keys.rental(request)));
    }

    @Override
    public void committed() {
      LOG.debug("rental {} settled", request);
    }
  }
}
