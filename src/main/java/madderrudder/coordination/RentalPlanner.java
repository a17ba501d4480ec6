package madderrudder.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Kind;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;

/**
 * Decides what to rent for tasks that found no room. Machines that boot, and rentals under way, count
 * as room. A task that some owned machine could take is rented for only after the threshold, against
 * the budget; one that none could take is rented for at once and not counted. A pure function.
 */
final class RentalPlanner {
    private static final int MOST_PER_ROUND = 20;
    private static final int MOST_TASKS = 400;

    private final Cluster cluster;
    private final Policy policy;
    private final long nowMicros;
    private final Predicate<Rental.Shelf> available;
    private final Room room;
    private final List<Coming> coming = new ArrayList<>();
    private final Map<Rental.Shelf, Integer> perShelf = new HashMap<>();
    private final Map<RentalKey, Rental> rentals = new LinkedHashMap<>();
    private int budgetLeft;
    private int rented;

    /** A machine that is on its way. */
    private static final class Coming {
        final MachineType type;
        final String zone;
        final boolean spot;
        Resources free;

        Coming(MachineType type, String zone, boolean spot) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            free = type.capacity();
        }
    }

    private record RentalKey(Rental.Shelf shelf, boolean counted) {
    }

    private RentalPlanner(Cluster cluster, Policy policy, long nowMicros, int budgetLeft,
            Predicate<Rental.Shelf> available, List<Rental> underWay) {
        this.cluster = cluster;
        this.policy = policy;
        this.nowMicros = nowMicros;
        this.budgetLeft = budgetLeft;
        this.available = available;
        room = new Room(cluster);
        for (Machine machine : cluster.machines.values()) {
            if (machine.booting()) {
                coming.add(new Coming(machine.type, machine.zone, machine.spot));
            }
            if (!machine.retiring && !machine.lapsed) {
                perShelf.merge(new Rental.Shelf(machine.type.name(), machine.zone, machine.spot), 1, Integer::sum);
            }
        }
        for (Rental rental : underWay) {
            for (int i = 0; i < rental.count(); i++) {
                coming.add(new Coming(rental.type(), rental.zone(), rental.spot()));
            }
            perShelf.merge(rental.shelf(), rental.count(), Integer::sum);
        }
    }

    static List<Rental> plan(Cluster cluster, Policy policy, long nowMicros, int budgetLeft,
            Predicate<Rental.Shelf> available, List<Rental> underWay) {
        RentalPlanner planner = new RentalPlanner(cluster, policy, nowMicros, budgetLeft, available, underWay);
        int looked = 0;
        for (Job job : cluster.waitingJobs(cluster.guaranteedJobs())) {
            if (!job.faulty() && looked < MOST_TASKS) {
                looked += planner.planJob(job, MOST_TASKS - looked);
            }
        }
        return List.copyOf(planner.rentals.values());
    }

    private int planJob(Job job, int mostTasks) {
        boolean ownedFits = cluster.ownedCouldFit(job, nowMicros);
        int waiting = job.waitingCount();
        int looked = 0;
        for (int task = job.nextWaiting(0); task >= 0 && looked < mostTasks; task = job.nextWaiting(task + 1)) {
            looked++;
            if (!room.teamAllows(job)) {
                break;
            }
            if (ownedFits && nowMicros - job.waitingSinceMicros(task) < policy.thresholdMicros()) {
                continue;
            }
            if (!takeComing(job) && !rent(job, ownedFits, waiting)) {
                break;
            }
            waiting--;
        }
        return looked;
    }

    private boolean takeComing(Job job) {
        Coming best = null;
        for (Coming machine : coming) {
            if (suits(job, machine.type, machine.zone, machine.spot) && job.spec.perTask().fits(machine.free)
                    && (best == null || machine.spot && !best.spot)) {
                best = machine;
            }
        }
        if (best == null) {
            return false;
        }
        best.free = best.free.minus(job.spec.perTask());
        room.count(job, best.zone);
        return true;
    }

    private boolean suits(Job job, MachineType type, String zone, boolean spot) {
        JobSpec spec = job.spec;
        return (!spot || spec.spotAllowed()) && (spec.types() == null || spec.types().contains(type.name()))
                && room.zoneAllows(job, zone);
    }

    private boolean rent(Job job, boolean counted, int waiting) {
        if (rented >= MOST_PER_ROUND || counted && budgetLeft < 1) {
            return false;
        }
        boolean spotToo = policy.spotMode() == Policy.SpotMode.ALWAYS
                || policy.spotMode() == Policy.SpotMode.UNCOUNTED && !counted;
        Rental best = null;
        double bestCost = Double.MAX_VALUE;
        for (MachineType type : cluster.types.values()) {
            int fit = fit(job.spec.perTask(), type.capacity());
            if (fit == 0) {
                continue;
            }
            for (String zone : type.zones()) {
                for (boolean spot : spotToo ? new boolean[] {true, false} : new boolean[] {false}) {
                    Rental rental = new Rental(type, zone, spot, 1, counted);
                    if (!suits(job, type, zone, spot) || !available.test(rental.shelf())) {
                        continue;
                    }
                    // A big machine is cheap per task only if there are tasks to fill it.
                    double cost = type.price(spot) / Math.min(fit, Math.max(1, waiting))
                            + 1e-4 * perShelf.getOrDefault(rental.shelf(), 0)
                            + (job.spec.kind() == Kind.SERVICE ? 1e-3 * room.planned(job, zone) : 0);
                    if (cost < bestCost) {
                        best = rental;
                        bestCost = cost;
                    }
                }
            }
        }
        if (best == null) {
            return false;
        }
        Coming machine = new Coming(best.type(), best.zone(), best.spot());
        machine.free = machine.free.minus(job.spec.perTask());
        coming.add(machine);
        room.count(job, best.zone());
        perShelf.merge(best.shelf(), 1, Integer::sum);
        rented++;
        if (counted) {
            budgetLeft--;
        }
        rentals.merge(new RentalKey(best.shelf(), counted), best,
                (a, b) -> new Rental(a.type(), a.zone(), a.spot(), a.count() + 1, a.counted()));
        return true;
    }

    private static int fit(Resources need, Resources capacity) {
        long fit = Integer.MAX_VALUE;
        if (need.milliCpus() > 0) {
            fit = Math.min(fit, capacity.milliCpus() / need.milliCpus());
        }
        if (need.milliGpus() > 0) {
            fit = Math.min(fit, capacity.milliGpus() / need.milliGpus());
        }
        if (need.memoryMb() > 0) {
            fit = Math.min(fit, capacity.memoryMb() / need.memoryMb());
        }
        return (int) fit;
    }
}
