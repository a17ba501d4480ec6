package madderrudder.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.bookkeeping.Change;
import madderrudder.bookkeeping.Keys;
import madderrudder.bookkeeping.MachineRecord;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;
import madderrudder.protocol.StoreCodec.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the machines of the picture and their records in step, and ends what is surely gone. */
final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    private final Term term;
    private final Set<String> removed = new HashSet<>();
    private Consumer<Machine> onDurable = machine -> { };

    Fleet(Term term) {
        this.term = term;
    }

    /** Called when what was written of a machine has become durable. */
    void onDurable(Consumer<Machine> action) {
        onDurable = action;
    }

    Machine add(String id, String type, String zone, boolean spot, boolean owned, long rentedWallMicros) {
        MachineType known = term.cluster.types.get(type);
        if (known == null) {
            known = new MachineType(type, Resources.NONE, 0, 1, 0, 0, 0, List.of(zone));
        }
        Machine machine = new Machine(id, known, zone, spot, owned, rentedWallMicros, term.scheduler.nowMicros());
        term.cluster.machines.put(id, machine);
        return machine;
    }

    /** Deleted in this term; lists and late reports may still name it. */
    boolean wasRemoved(String id) {
        return removed.contains(id);
    }

    Assignment assign(Machine machine, Job job, int task, long attempt) {
        Assignment assignment = new Assignment(new madderrudder.protocol.TaskId(job.spec.id(), task), attempt, machine,
                job.spec.team(), job.spec.perTask(), job, false, term.scheduler.nowMicros());
        machine.assignments.put(new Machine.Key(assignment.task, attempt), assignment);
        job.hold(assignment);
        save(machine);
        return assignment;
    }

    Assignment inherit(Machine machine, MachineRecord.Entry entry) {
        Job job = term.cluster.jobs.get(entry.task().job());
        if (job != null && entry.task().index() >= job.spec.tasks()) {
            job = null;
        }
        Assignment assignment = new Assignment(entry.task(), entry.attempt(), machine, entry.team(), entry.takes(),
                job, true, term.scheduler.nowMicros());
        assignment.durable = true;
        machine.assignments.put(new Machine.Key(entry.task(), entry.attempt()), assignment);
        if (job == null || job.done.get(entry.task().index())) {
            assignment.unwanted = true;
        }
        if (job != null) {
            job.hold(assignment);
        }
        return assignment;
    }

    /** The task is surely not on the machine any more. */
    void release(Assignment assignment) {
        Machine machine = assignment.machine;
        long now = term.scheduler.nowMicros();
        if (machine.assignments.remove(new Machine.Key(assignment.task, assignment.attempt)) == null) {
            return;
        }
        if (assignment.job != null) {
            assignment.job.release(assignment, now);
        }
        if (machine.empty()) {
            machine.idleSinceMicros = now;
        }
        save(machine);
    }

    void releaseAll(Machine machine) {
        for (Assignment assignment : List.copyOf(machine.assignments.values())) {
            release(assignment);
        }
        machine.strays.clear();
        machine.unforgettable.clear();
    }

    /** The cloud has confirmed the deletion: the machine and everything on it is gone. */
    void remove(Machine machine) {
        releaseAll(machine);
        term.cluster.machines.remove(machine.id);
        removed.add(machine.id);
        save(machine);
    }

    void retire(Machine machine, String why) {
        if (!machine.retiring) {
            LOG.info("returning {} ({} {}{}): {}", machine.id, machine.type.name(), machine.zone,
                    machine.spot ? " spot" : "", why);
            machine.retiring = true;
            save(machine);
        }
    }

    /** Machines that were silent for longer than any lease lasts have dropped their tasks. */
    void lapseSilent(long nowMicros) {
        for (Machine machine : List.copyOf(term.cluster.machines.values())) {
            boolean counts = machine.reported || !machine.assignments.isEmpty();
            if (!machine.lapsed && counts && nowMicros - machine.answeredMicros > term.safety.leaseMicros()) {
                LOG.info("{} has been silent for a lease", machine.id);
                machine.lapsed = true;
                machine.forgetImages();
                releaseAll(machine);
            }
        }
    }

    void save(Machine machine) {
        term.journal.add(new MachineChange(machine));
    }

    /** Writes what is wished of one machine at the moment of writing. */
    private final class MachineChange implements Change {
        private final Machine machine;
        private List<Assignment> written = List.of();
        private boolean retiring;

        MachineChange(Machine machine) {
            this.machine = machine;
        }

        @Override
        public String name() {
            return Keys.machine(machine.id);
        }

        @Override
        public List<Write> writes() {
            if (removed.contains(machine.id)) {
                return List.of(Write.drop(Keys.machine(machine.id)));
            }
            written = new ArrayList<>(machine.assignments.values());
            retiring = machine.retiring;
            return List.of(Write.put(Keys.machine(machine.id), machine.record().render()));
        }

        @Override
        public void committed() {
            for (Assignment assignment : written) {
                assignment.durable = true;
            }
            machine.retiringDurable |= retiring;
            onDurable.accept(machine);
        }
    }
}
