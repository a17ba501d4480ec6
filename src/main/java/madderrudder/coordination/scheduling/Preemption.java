package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;

/**
 * Decides which running tasks are preempted: for a task of higher priority, or for one within its
 * team's guarantee at the cost of teams beyond theirs. A pure function of what it is given.
 */
public final class Preemption {
  /** Processor seconds of other work that a second of fetching is worth. */
  private static final double FETCH_WEIGHT = 40;

  private final PlanningRound round;
  private final VictimSelection selection;
  private final RoundUsage roundUsage;
  private final List<Machine> usable = new ArrayList<>();

  /** Jobs for which nothing was left to be stopped. */
  private final List<Job> unsatisfied = new ArrayList<>();

  /** What would have to be stopped on a machine for a task of the job, and what is lost by it. */
  private record Option(Machine machine, List<Assignment> stops, double loss)
      implements Comparable<Option> {
    @Override
    public int compareTo(Option other) {
      return Double.compare(loss, other.loss);
    }
  }

  private Preemption(PlanningRound round) {
    this.round = round;
    selection = new VictimSelection(round);
    roundUsage = new RoundUsage(round.cluster());
    for (Machine machine : round.cluster().machines.values()) {
      if (round.usable(machine) && machine.reclaimMicros < 0) {
        usable.add(machine);
      }
    }
  }

  /** The tasks to stop. To be called after placement: what still waits has found no capacity. */
  public static Set<Assignment> plan(
      Cluster cluster, OperatorPolicy policy, Demand demand, long nowMicros) {
    Preemption preemption = new Preemption(new PlanningRound(cluster, policy, demand, nowMicros));
    for (Job job : demand.waiting()) {
      if (preemption.mayPreempt(job) && !preemption.cannotSucceed(job)) {
        if (job.spec.kind() == JobKind.GANG) {
          preemption.preemptForGang(job);
        } else {
          preemption.new JobPreemption(job, preemption.roundUsage).preemptForTasks();
        }
      }
    }
    return preemption.selection.victims();
  }

  private boolean mayPreempt(Job job) {
    return (job.spec.priority() == Priority.PRODUCTION || round.guaranteed(job))
        && !job.failing()
        && job.nextWaiting(0) >= 0
        && round.demand().coverage().suffices(job);
  }

  /**
   * Whether an earlier job that was no more demanding found nothing left to stop; there is only
   * less by now. With many jobs waiting, looking at each machine for each of them took most of the
   * processor.
   */
  private boolean cannotSucceed(Job job) {
    return unsatisfied.stream().anyMatch(other -> noMoreDemanding(other, job));
  }

  private boolean noMoreDemanding(Job other, Job job) {
    return other.team.equals(job.team)
        && other.spec.kind() == job.spec.kind()
        && other.spec.priority() == job.spec.priority()
        && round.guaranteed(other) == round.guaranteed(job)
        && other.spec.spotAllowed() == job.spec.spotAllowed()
        && Objects.equals(other.spec.types(), job.spec.types())
        && other.spec.zone() == null
        && !other.spec.oneZone()
        && !other.spec.spread()
        && other.spec.perTask().fits(job.spec.perTask());
  }

  /**
   * A gang starts with all its tasks or not at all: unless all that wait can be made to fit,
   * nothing is stopped for it. The placer reserves for the gang what is stopped here.
   */
  private void preemptForGang(Job job) {
    if (!job.gangAcceptsPlacement()) {
      return;
    }
    JobPreemption preemption = new JobPreemption(job, roundUsage.copy());
    if (preemption.mostTasks() < job.waitingCount()) {
      return;
    }
    VictimSelection.Snapshot before = selection.snapshot();
    if (preemption.preemptForTasks() < job.waitingCount()) {
      selection.restore(before);
    } else {
      preemption.chosen.forEach(machine -> roundUsage.count(job, machine.zone));
    }
  }

  /**
   * Preempts for the waiting tasks of one job. Each machine is looked at once for the job, and
   * again only after something was stopped on it.
   */
  private final class JobPreemption {
    private final Job job;
    private final RoundUsage usage;
    private final boolean ownedFits;
    private final PriorityQueue<Option> owned = new PriorityQueue<>();
    private final PriorityQueue<Option> rented = new PriorityQueue<>();
    private final List<Machine> chosen = new ArrayList<>();

    JobPreemption(Job job, RoundUsage usage) {
      this.job = job;
      this.usage = usage;
      ownedFits = round.ownedCouldFit(job);
      for (Machine machine : usable) {
        if (round.cluster().allowed(job, machine)
            && job.spec.perTask().fits(machine.type.capacity())) {
          offer(machine, machine.owned ? owned : rented);
        }
      }
    }

    /** For how many tasks capacity could be freed at the most. */
    int mostTasks() {
      long most = 0;
      for (PriorityQueue<Option> queue : List.of(owned, rented)) {
        for (Option option : queue) {
          most += job.spec.perTask().timesIn(option.machine().type.capacity());
        }
      }
      return (int) Math.min(Integer.MAX_VALUE, most);
    }

    /** Frees capacity for each task that waits, as far as possible; returns for how many. */
    int preemptForTasks() {
      for (int task = job.nextWaiting(0); task >= 0; task = job.nextWaiting(task + 1)) {
        if (owned.isEmpty() && rented.isEmpty()) {
          unsatisfied.add(job);
          break;
        }
        if (!usage.teamAllows(job)) {
          break;
        }
        if (job.ready(task, round.nowMicros())) {
          preemptForTask(task);
        }
      }
      return chosen.size();
    }

    private void preemptForTask(int task) {
      // Capacity on a machine that the task may not use yet would go to another task, and be freed
      // again and again.
      boolean rentedAllowed = !ownedFits || round.waitedThreshold(job, task);
      Option fromOwned = cheapest(owned);
      Option fromRented = rentedAllowed ? cheapest(rented) : null;
      boolean useOwned =
          fromOwned != null && (fromRented == null || fromOwned.loss() <= fromRented.loss());
      Option option = useOwned ? fromOwned : fromRented;
      if (option == null) {
        return;
      }
      PriorityQueue<Option> queue = useOwned ? owned : rented;
      queue.poll();
      selection.stopFor(job, option.machine(), option.stops());
      usage.count(job, option.machine().zone);
      chosen.add(option.machine());
      offer(option.machine(), queue);
    }

    private void offer(Machine machine, PriorityQueue<Option> queue) {
      List<Assignment> stops = selection.stopsFor(job, machine);
      if (stops != null) {
        queue.add(new Option(machine, stops, selection.loss(stops) + fetchLoss(machine)));
      }
    }

    /** Preemption is for work in a hurry: where the image has to be fetched, it is worth less. */
    private double fetchLoss(Machine machine) {
      boolean hurried =
          job.spec.priority() == Priority.PRODUCTION || job.spec.kind() == JobKind.GANG;
      return !hurried || machine.hasImage(job.spec.image())
          ? 0
          : FETCH_WEIGHT * job.spec.imageGb() / machine.type.fetchGbPerS();
    }

    /**
     * The option of least loss that is still valid, or null: zones close, and teams come to be
     * within their guarantee.
     */
    private Option cheapest(PriorityQueue<Option> queue) {
      while (!queue.isEmpty()) {
        Option option = queue.peek();
        if (!usage.zoneAllows(job, option.machine().zone)) {
          queue.poll();
        } else if (!option.stops().stream().allMatch(stop -> selection.mayStop(job, stop))) {
          queue.poll();
          offer(option.machine(), queue);
        } else {
          return option;
        }
      }
      return null;
    }
  }
}
