package madderrudder.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.bookkeeping.Change;
import madderrudder.bookkeeping.Journal.Lane;
import madderrudder.bookkeeping.Keys;
import madderrudder.bookkeeping.MachineRecord;
import madderrudder.bookkeeping.Metrics.Timing;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.protocol.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the machines of the picture and their records in step, and ends what is surely gone. */
final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    private final Term term;
    private final Set<String> removed = new HashSet<>();
    private final Set<Machine> touched = new LinkedHashSet<>();
    private Consumer<Machine> onDurable = machine -> { };
    private Runnable onFree = () -> { };

    Fleet(Term term) {
        this.term = term;
    }

    /** Called when what was written of a machine has become durable. */
    void onDurable(Consumer<Machine> action) {
        onDurable = action;
    }

    /** Called when tasks may be placed again. */
    void onFree(Runnable action) {
        onFree = action;
    }

    Machine add(String id, String type, String zone, boolean spot, boolean owned, long rentedWallMicros) {
        MachineType known = term.cluster.types.get(type);
        if (known == null) {
            known = new MachineType(type, Resources.NONE, 0, 1, 0, 0, 0, List.of(zone));
        }
        Machine machine = new Machine(id, known, zone, spot, owned, rentedWallMicros, term.scheduler.nowMicros());
        term.cluster.add(machine);
        return machine;
    }

    /** Deleted in this term; lists and late reports may still name it. */
    boolean wasRemoved(String id) {
        return removed.contains(id);
    }

    Assignment assign(Machine machine, Job job, int task, long attempt) {
        Assignment assignment = new Assignment(new TaskId(job.spec.id(), task), attempt, machine,
                job.spec.team(), job.spec.perTask(), job, false, term.scheduler.nowMicros());
        assignment.waitedMicros = assignment.placedMicros - job.waitingSinceMicros(task);
        term.metrics.record(Timing.PLACING, assignment.waitedMicros);
        assignment.hadImage = machine.hasImage(job.spec.image());
        term.cluster.hold(assignment);
        term.journal.add(new MachineChange(machine), Lane.FIRST);
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
        if (job == null || job.done.get(entry.task().index())) {
            assignment.unwanted = true;
        }
        term.cluster.hold(assignment);
        return assignment;
    }

    /** The task shall not run there any more; its worker will hear of it. */
    void unwant(Assignment assignment) {
        assignment.unwanted = true;
        touched.add(assignment.machine);
    }

    /** The machines with something new to be told, each named once. */
    List<Machine> takeTouched() {
        List<Machine> machines = List.copyOf(touched);
        touched.clear();
        return machines;
    }

    /**
     * The task is surely not on the machine any more. Its record may outlive it for a moment: that only
     * makes a new leader more careful, so it goes with what is written of the machine next, or when there
     * is little else to write. A task that will be placed again has to wait until it has gone, though: named
     * by two records, it would be started at both machines by a new leader.
     */
    void release(Assignment assignment) {
        Machine machine = assignment.machine;
        long now = term.scheduler.nowMicros();
        if (!term.cluster.release(assignment, now)) {
            return;
        }
        if (machine.empty()) {
            machine.idleSinceMicros = now;
        }
        Job job = assignment.job;
        boolean again = job != null && !job.over && !job.done.get(assignment.task.index());
        if (again && machine.lingering.add(assignment.task)) {
            term.cluster.linger(assignment.task);
        }
        // After a wave of losses hundreds of records are dropped: they must not stand before the starts.
        term.journal.add(new MachineChange(machine), !again ? Lane.LATER
                : job.spec.priority() == Priority.PRODUCTION ? Lane.FIRST : Lane.SOON);
    }

    void releaseAll(Machine machine) {
        for (Assignment assignment : List.copyOf(machine.assignments.values())) {
            release(assignment);
        }
        term.cluster.strays(machine, List.of());
        machine.unforgettable.clear();
    }

    /** The cloud has confirmed the deletion: the machine and everything on it is gone. */
    void remove(Machine machine) {
        releaseAll(machine);
        term.cluster.remove(machine);
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

    /** What the store was to learn of the machine's tasks it knows now. */
    void settled(Machine machine) {
        onDurable.accept(machine);
    }

    void save(Machine machine) {
        term.journal.add(new MachineChange(machine), Lane.SOON);
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

        /** What was released after this was built is named by it, and lingers on. */
        private void forgetLingering() {
            Set<TaskId> named = new HashSet<>();
            written.forEach(assignment -> named.add(assignment.task));
            List<TaskId> gone = machine.lingering.stream().filter(task -> !named.contains(task)).toList();
            gone.forEach(task -> {
                machine.lingering.remove(task);
                term.cluster.unlinger(task);
            });
            if (!gone.isEmpty()) {
                onFree.run();
            }
        }

        @Override
        public void committed() {
            forgetLingering();
            for (Assignment assignment : written) {
                if (!assignment.durable) {
                    assignment.durable = true;
                    assignment.durableMicros = term.scheduler.nowMicros();
                    term.metrics.record(Timing.RECORDING, assignment.durableMicros - assignment.placedMicros);
                }
            }
            machine.retiringDurable |= retiring;
            onDurable.accept(machine);
        }
    }
}
