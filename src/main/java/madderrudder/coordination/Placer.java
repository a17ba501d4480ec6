package madderrudder.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Kind;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;

/**
 * Decides which waiting tasks go where: free owned room first, and rented room once a task has waited
 * the threshold or when no owned machine could ever take it. A pure function of what it is given.
 */
final class Placer {
    private static final int MOST_PER_ROUND = 256;
    /** What another replica on the machine weighs, in seconds of fetching: of the same job, of any. */
    private static final double SAME_JOB_S = 1.3;
    private static final double NEIGHBOUR_S = 0.3;
    /** Keeps the record of a machine within one stored value. */
    private static final int ENTRY_BYTES = 110;

    private final Cluster cluster;
    private final Policy policy;
    private final long nowMicros;
    private final int mostPerMachine;
    private final List<Placement> placements = new ArrayList<>();
    private final Set<Job> guaranteed;
    private final long keptMilliCpus;
    private long freeMilliCpus;
    private Room room;

    private Placer(Cluster cluster, Policy policy, long nowMicros) {
        this.cluster = cluster;
        this.policy = policy;
        this.nowMicros = nowMicros;
        mostPerMachine = Math.max(1, (cluster.deployment.state().valueBytes() - 512) / ENTRY_BYTES);
        room = new Room(cluster);
        guaranteed = cluster.guaranteedJobs();
        long fastestBoot = cluster.types.values().stream().mapToLong(MachineType::bootMicros).min().orElse(0);
        boolean rentingTooSlow = cluster.deployment.shortestWaitMicros() < fastestBoot;
        long all = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.usable(nowMicros, cluster.deployment.workers().reportMicros())) {
                all += machine.type.capacity().milliCpus();
                freeMilliCpus += machine.free().milliCpus();
            }
        }
        keptMilliCpus = rentingTooSlow ? (long) (all * policy.headroom()) : 0;
    }

    static List<Placement> plan(Cluster cluster, Policy policy, long nowMicros) {
        Placer placer = new Placer(cluster, policy, nowMicros);
        for (Job job : cluster.waitingJobs(placer.guaranteed)) {
            if (placer.placements.size() >= MOST_PER_ROUND) {
                break;
            }
            if (job.spec.kind() == Kind.GANG) {
                placer.planGang(job);
            } else {
                placer.planTasks(job);
            }
        }
        return placer.placements;
    }

    private void planTasks(Job job) {
        boolean ownedFits = cluster.ownedCouldFit(job, nowMicros);
        for (int task = job.nextWaiting(0); task >= 0 && placements.size() < MOST_PER_ROUND;
                task = job.nextWaiting(task + 1)) {
            if (!job.ready(task, nowMicros) || cluster.strayed(job.spec.id(), task)) {
                continue;
            }
            if (!room.teamAllows(job) || eatsHeadroom(job)) {
                return;
            }
            boolean waited = nowMicros - job.waitingSinceMicros(task) >= policy.thresholdMicros();
            Machine machine = best(job, !ownedFits || waited);
            if (machine != null) {
                accept(job, task, machine, 0);
            } else if (!ownedFits || waited) {
                return;
            }
        }
    }

    /** Room for work that must start sooner than a machine boots; what is ordinary rents instead. */
    private boolean eatsHeadroom(Job job) {
        return Priority.HIGH.above(job.spec.priority()) && !guaranteed.contains(job)
                && freeMilliCpus - job.spec.perTask().milliCpus() < keptMilliCpus;
    }

    /** All tasks or none; a gang that still gathers gets what it lacks, under the attempt it has. */
    private void planGang(Job job) {
        if (!job.assignments.isEmpty() && (job.gangRan || job.gangAttempt == 0
                || job.assignments.stream().anyMatch(a -> a.unwanted || a.completed))) {
            return;
        }
        Room before = room.copy();
        int placed = placements.size();
        boolean ownedFits = cluster.ownedCouldFit(job, nowMicros);
        for (int task = job.nextWaiting(0); task >= 0; task = job.nextWaiting(task + 1)) {
            boolean waited = nowMicros - job.waitingSinceMicros(task) >= policy.thresholdMicros();
            Machine machine = job.ready(task, nowMicros) && !cluster.strayed(job.spec.id(), task)
                    && room.teamAllows(job) ? best(job, !ownedFits || waited) : null;
            if (machine == null) {
                room = before;
                placements.subList(placed, placements.size()).clear();
                return;
            }
            accept(job, task, machine, job.gangAttempt);
        }
    }

    private void accept(Job job, int task, Machine machine, long attempt) {
        room.take(job, machine);
        freeMilliCpus -= job.spec.perTask().milliCpus();
        placements.add(new Placement(job, task, machine, attempt));
    }

    private Machine best(Job job, boolean rentedToo) {
        Machine best = null;
        double bestCost = Double.MAX_VALUE;
        for (Machine machine : cluster.machines.values()) {
            if (!machine.owned && !rentedToo || !suits(job, machine)) {
                continue;
            }
            double cost = cost(job, machine);
            if (cost < bestCost) {
                best = machine;
                bestCost = cost;
            }
        }
        return best;
    }

    private boolean suits(Job job, Machine machine) {
        return machine.usable(nowMicros, cluster.deployment.workers().reportMicros())
                && machine.recallMicros < 0
                && job.spec.perTask().fits(room.free(machine))
                && machine.assignments.size() + room.added(machine) < mostPerMachine
                && cluster.allowed(job, machine) && room.zoneAllows(job, machine.zone)
                && (!job.erredOn(machine.id) || job.faulty());
    }

    /** Seconds of fetching, and a little for what fits badly; owned room always goes first. */
    private double cost(Job job, Machine machine) {
        JobSpec spec = job.spec;
        double cost = machine.owned ? 0 : 1000;
        if (!machine.hasImage(spec.image())) {
            cost += spec.imageGb() / machine.type.fetchGbPerS();
        }
        long left = room.free(machine).milliCpus() - spec.perTask().milliCpus();
        cost += (double) left / Math.max(1, machine.type.capacity().milliCpus());
        if (spec.spotAllowed() && !machine.spot) {
            cost += 2;
        }
        if (spec.kind() == Kind.SERVICE) {
            // One machine's end should take few replicas with it: they are missing for a whole lease.
            for (Assignment assignment : machine.assignments.values()) {
                if (assignment.job != null && assignment.job.spec.kind() == Kind.SERVICE) {
                    cost += assignment.job == job ? SAME_JOB_S : NEIGHBOUR_S;
                }
            }
        }
        return cost;
    }
}
