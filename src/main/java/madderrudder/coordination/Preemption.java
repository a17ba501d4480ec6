package madderrudder.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.protocol.Kind;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * Decides which running tasks make room: for a task of higher priority, or for one within its team's
 * guarantee at the cost of teams beyond theirs. A pure function of what it is given.
 */
final class Preemption {
    private final Cluster cluster;
    private final Policy policy;
    private final long nowMicros;
    private final Map<Machine, Resources> coming = new HashMap<>();
    private final Map<String, Resources> usage;
    private final Set<Assignment> victims = new HashSet<>();
    private final Set<Job> guaranteedJobs;

    private Preemption(Cluster cluster, Policy policy, long nowMicros) {
        this.cluster = cluster;
        this.policy = policy;
        this.nowMicros = nowMicros;
        usage = cluster.usage();
        guaranteedJobs = cluster.guaranteedJobs();
    }

    /** To be called after placement: whatever still waits has found no free room. */
    static Set<Assignment> plan(Cluster cluster, Policy policy, long nowMicros) {
        Preemption preemption = new Preemption(cluster, policy, nowMicros);
        Room room = new Room(cluster);
        for (Job job : cluster.waitingJobs(preemption.guaranteedJobs)) {
            if (job.spec.kind() != Kind.GANG && !job.faulty()) {
                preemption.makeRoom(job, room);
            }
        }
        return preemption.victims;
    }

    private void makeRoom(Job job, Room room) {
        boolean guaranteed = guaranteedJobs.contains(job);
        if (!guaranteed && job.spec.priority() == Priority.LOW) {
            return;
        }
        boolean ownedFits = cluster.ownedCouldFit(job, nowMicros);
        for (int task = job.nextWaiting(0); task >= 0; task = job.nextWaiting(task + 1)) {
            if (!job.ready(task, nowMicros)) {
                continue;
            }
            if (!room.teamAllows(job)) {
                return;
            }
            // Room on a machine that the task may not use yet would go to another, and be made again and again.
            boolean rentedToo = !ownedFits || nowMicros - job.waitingSinceMicros(task) >= policy.thresholdMicros();
            Machine found = null;
            List<Assignment> chosen = null;
            for (Machine machine : cluster.machines.values()) {
                if (!machine.usable(nowMicros, cluster.deployment.workers().reportMicros())
                        || machine.recallMicros >= 0 || !machine.owned && !rentedToo || !cluster.allowed(job, machine)
                        || !room.zoneAllows(job, machine.zone)
                        || !job.spec.perTask().fits(machine.type.capacity())) {
                    continue;
                }
                List<Assignment> stops = stopsFor(job, machine, guaranteed);
                if (stops != null && (chosen == null || loss(stops) < loss(chosen))) {
                    found = machine;
                    chosen = stops;
                }
            }
            if (found == null) {
                return;
            }
            Resources freed = free(found);
            for (Assignment victim : chosen) {
                victims.add(victim);
                freed = freed.plus(victim.takes);
                usage.merge(victim.team, victim.takes, Resources::minus);
            }
            coming.put(found, freed.minus(job.spec.perTask()));
            room.count(job, found.zone);
        }
    }

    /** Free room of the machine once everything that is being stopped has gone. */
    private Resources free(Machine machine) {
        return coming.computeIfAbsent(machine, m -> {
            Resources free = m.free();
            for (Assignment assignment : m.assignments.values()) {
                if (assignment.unwanted && !assignment.completed) {
                    free = free.plus(assignment.takes);
                }
            }
            return free;
        });
    }

    /** The cheapest stops that make the task fit; empty if it will fit anyway, null if none do. */
    private List<Assignment> stopsFor(Job job, Machine machine, boolean guaranteed) {
        Resources free = free(machine);
        List<Assignment> stops = new ArrayList<>();
        if (job.spec.perTask().fits(free)) {
            return stops;
        }
        List<Assignment> candidates = new ArrayList<>();
        for (Assignment assignment : machine.assignments.values()) {
            if (!assignment.unwanted && !assignment.completed && assignment.durable && !victims.contains(assignment)
                    && assignment.job != null && assignment.job.spec.kind() != Kind.GANG
                    && mayStop(job, assignment, guaranteed)) {
                candidates.add(assignment);
            }
        }
        candidates.sort(Comparator.comparingDouble(this::loss));
        for (Assignment candidate : candidates) {
            stops.add(candidate);
            free = free.plus(candidate.takes);
            if (job.spec.perTask().fits(free)) {
                return stops;
            }
        }
        return null;
    }

    private boolean mayStop(Job job, Assignment victim, boolean guaranteed) {
        if (job.spec.priority().above(victim.job.spec.priority())) {
            return job.spec.priority() == Priority.PRODUCTION || guaranteed;
        }
        Resources theirs = usage.getOrDefault(victim.team, Resources.NONE);
        return guaranteed && victim.job.spec.kind() != Kind.SERVICE && victim.job.team != job.team
                && !guaranteedJobs.contains(victim.job) && !victim.job.team.guarantees(theirs);
    }

    private double loss(List<Assignment> stops) {
        double loss = 0;
        for (Assignment stop : stops) {
            loss += loss(stop);
        }
        return loss;
    }

    /** Processor time that would be done again; services last. */
    private double loss(Assignment assignment) {
        if (assignment.job.spec.kind() == Kind.SERVICE) {
            return 1e9;
        }
        long ran = assignment.runningMicros < 0 ? 0 : nowMicros - assignment.runningMicros;
        long since = assignment.job.spec.checkpointMicros() > 0
                ? Math.min(ran, assignment.job.spec.checkpointMicros()) : ran;
        return (since / 1e6 + 1) * assignment.takes.milliCpus() / 1000;
    }
}
