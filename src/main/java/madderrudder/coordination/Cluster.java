package madderrudder.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/** The leader's picture: live jobs, machines, and what may be where. */
public final class Cluster {
    final Deployment deployment;
    final Map<String, Job> jobs = new LinkedHashMap<>();
    final Map<String, Machine> machines = new LinkedHashMap<>();
    Map<String, MachineType> types = Map.of();

    Cluster(Deployment deployment) {
        this.deployment = deployment;
    }

    /** What each team may be using, machines that can't be reached included. */
    Map<String, Resources> usage() {
        Map<String, Resources> usage = new HashMap<>();
        for (Machine machine : machines.values()) {
            for (Assignment assignment : machine.assignments.values()) {
                if (!assignment.completed) {
                    usage.merge(assignment.team, assignment.takes, Resources::plus);
                }
            }
            for (Machine.Stray stray : machine.strays) {
                usage.merge(stray.team(), stray.takes(), Resources::plus);
            }
        }
        return usage;
    }

    /** Whether the worker of some machine says it has the task though no record names it there. */
    boolean strayed(String job, int task) {
        for (Machine machine : machines.values()) {
            for (Machine.Stray stray : machine.strays) {
                if (stray.key().task().index() == task && stray.key().task().job().equals(job)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * The jobs that lie within their team's guarantee: each fits into it together with the team's
     * earlier unfinished jobs.
     */
    Set<Job> guaranteedJobs() {
        Map<String, Resources> demand = new HashMap<>();
        List<Job> byAge = new ArrayList<>(jobs.values());
        byAge.sort(Comparator.comparingLong(job -> job.acceptedWallMicros));
        Set<Job> guaranteed = new HashSet<>();
        for (Job job : byAge) {
            Resources total = demand.merge(job.spec.team(), job.spec.perTask().times(job.undone()), Resources::plus);
            if (job.team.guarantees(total)) {
                guaranteed.add(job);
            }
        }
        return guaranteed;
    }

    /**
     * The jobs that wait for room, in the order in which they shall get it: production, then what lies
     * within a guarantee, then by priority. What may be stopped for a job always comes after it here, so
     * room made by stopping never goes back to what was stopped.
     */
    List<Job> waitingJobs(Set<Job> guaranteed) {
        List<Job> waiting = new ArrayList<>();
        for (Job job : jobs.values()) {
            if (!job.over && job.nextWaiting(0) >= 0) {
                waiting.add(job);
            }
        }
        waiting.sort(Comparator.<Job>comparingInt(job -> job.spec.priority() == Priority.PRODUCTION ? 0
                        : guaranteed.contains(job) ? 1 : 2)
                .thenComparingInt(job -> job.spec.priority().ordinal())
                .thenComparing(job -> !guaranteed.contains(job))
                .thenComparingLong(Cluster::urgency));
        return waiting;
    }

    private static long urgency(Job job) {
        return job.spec.deadlineMicros() > 0 ? job.acceptedWallMicros + job.spec.deadlineMicros()
                : job.acceptedWallMicros + 120_000_000;
    }

    /** Some owned machine that is there could take a task of the job, if it were empty. */
    boolean ownedCouldFit(Job job, long nowMicros) {
        for (Machine machine : machines.values()) {
            if (machine.owned && !machine.lapsed && !machine.failed && !machine.faulty(nowMicros)
                    && allowed(job, machine)
                    && job.spec.perTask().fits(machine.type.capacity())) {
                return true;
            }
        }
        return false;
    }

    /** Type, zone and kind suit the job, given where its other tasks may be. */
    boolean allowed(Job job, Machine machine) {
        JobSpec spec = job.spec;
        return (!machine.spot || spec.spotAllowed())
                && (spec.types() == null || spec.types().contains(machine.type.name()))
                && zoneAllowed(job, machine.zone, 0);
    }

    /** {@code planned} further tasks of the job are meant for the zone. */
    boolean zoneAllowed(Job job, String zone, int planned) {
        JobSpec spec = job.spec;
        if (spec.zone() != null && !spec.zone().equals(zone)) {
            return false;
        }
        if (spec.spread() && job.inZone(zone) + planned >= spec.mostPerZone()) {
            return false;
        }
        if (spec.oneZone()) {
            for (Assignment assignment : job.assignments) {
                if (!assignment.machine.zone.equals(zone)) {
                    return false;
                }
            }
        }
        return true;
    }
}
