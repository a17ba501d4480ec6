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
 * Decides which running tasks are preempted: for a job of higher priority, or for a job covered by
 * its team's guarantee at the expense of teams that exceed theirs. A pure function of its
 * arguments.
 */
public final class Preemption {
  /** The loss, in processor seconds, that one second of image fetching counts as. */
  private static final double FETCH_SECOND_LOSS_CPU_S = 40;

  private final PlanningRound round;
  private final VictimSelection selection;
  private final RoundUsage roundUsage;
  private final List<Machine> usableMachines = new ArrayList<>();

  /** Jobs for which no further preemption was possible. */
  private final List<Job> jobsWithoutOptions = new ArrayList<>();

  /** The tasks to preempt on a machine so that a task of the job fits, and the resulting loss. */
  private record Option(Machine machine, List<Assignment> victims, double loss)
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
        usableMachines.add(machine);
      }
    }
  }

  /**
   * Returns the tasks to preempt. Call it after placement, when each task that still waits has
   * found no free capacity.
   *
   * @param nowMicros the time on the monotonic clock, in microseconds
   */
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
   * Whether an earlier job with no stricter requirements found nothing left to preempt; the set of
   * possible victims only shrinks within a round. Evaluating each machine for each of many waiting
   * jobs took most of the processor time.
   */
  private boolean cannotSucceed(Job job) {
    return jobsWithoutOptions.stream().anyMatch(other -> noMoreDemanding(other, job));
  }

  /** Whether every preemption that is possible for the job is possible for the other one too. */
  private boolean noMoreDemanding(Job other, Job job) {
    return other.team.equals(job.team)
        && other.spec.kind() == job.spec.kind()
        && other.spec.priority() == job.spec.priority()
        && round.guaranteed(other) == round.guaranteed(job)
        && other.spec.spotAllowed() == job.spec.spotAllowed()
        && Objects.equals(other.spec.machineTypes(), job.spec.machineTypes())
        && other.spec.zone() == null
        && !other.spec.oneZone()
        && !other.spec.spread()
        && other.spec.resourcesPerTask().fits(job.spec.resourcesPerTask());
  }

  /**
   * Preempts for all waiting tasks of a gang or for none, because a gang starts only as a whole.
   * The placer reserves the capacity freed here for the gang.
   */
  private void preemptForGang(Job job) {
    if (!job.gangAcceptsPlacement()) {
      return;
    }
    JobPreemption preemption = new JobPreemption(job, roundUsage.copy());
    if (preemption.maxTasks() < job.waitingCount()) {
      return;
    }
    VictimSelection.Snapshot before = selection.snapshot();
    if (preemption.preemptForTasks() < job.waitingCount()) {
      selection.restore(before);
    } else {
      preemption.chosenMachines.forEach(machine -> roundUsage.addTaskInZone(job, machine.zone));
    }
  }

  /**
   * Preempts for the waiting tasks of one job. Each machine is evaluated once for the job, and
   * again only after tasks on it were selected for preemption.
   */
  private final class JobPreemption {
    private final Job job;
    private final RoundUsage usage;
    private final boolean fitsOwned;
    private final PriorityQueue<Option> ownedOptions = new PriorityQueue<>();
    private final PriorityQueue<Option> rentedOptions = new PriorityQueue<>();
    private final List<Machine> chosenMachines = new ArrayList<>();

    JobPreemption(Job job, RoundUsage usage) {
      this.job = job;
      this.usage = usage;
      fitsOwned = round.ownedCouldFit(job);
      for (Machine machine : usableMachines) {
        if (round.cluster().allowed(job, machine)
            && job.spec.resourcesPerTask().fits(machine.type.capacity())) {
          addOption(machine, machine.owned ? ownedOptions : rentedOptions);
        }
      }
    }

    /** Returns an upper bound on the number of tasks for which capacity could be freed. */
    int maxTasks() {
      long maxTasks = 0;
      for (PriorityQueue<Option> queue : List.of(ownedOptions, rentedOptions)) {
        for (Option option : queue) {
          maxTasks += job.spec.resourcesPerTask().timesIn(option.machine().type.capacity());
        }
      }
      return (int) Math.min(Integer.MAX_VALUE, maxTasks);
    }

    /** Frees capacity for as many waiting tasks as possible, and returns their number. */
    int preemptForTasks() {
      for (int task = job.nextWaiting(0); task >= 0; task = job.nextWaiting(task + 1)) {
        if (ownedOptions.isEmpty() && rentedOptions.isEmpty()) {
          jobsWithoutOptions.add(job);
          break;
        }
        if (!usage.teamAllows(job)) {
          break;
        }
        if (job.ready(task, round.nowMicros())) {
          preemptForTask(task);
        }
      }
      return chosenMachines.size();
    }

    private void preemptForTask(int task) {
      // Capacity freed on a machine that the task may not use yet would be given to another task,
      // and preemption for this task would repeat without end.
      boolean rentedAllowed = !fitsOwned || round.waitedThreshold(job, task);
      Option ownedOption = leastLossOption(ownedOptions);
      Option rentedOption = rentedAllowed ? leastLossOption(rentedOptions) : null;
      boolean useOwned =
          ownedOption != null
              && (rentedOption == null || ownedOption.loss() <= rentedOption.loss());
      Option option = useOwned ? ownedOption : rentedOption;
      if (option == null) {
        return;
      }
      PriorityQueue<Option> queue = useOwned ? ownedOptions : rentedOptions;
      queue.poll();
      selection.selectVictims(job, option.machine(), option.victims());
      usage.addTaskInZone(job, option.machine().zone);
      chosenMachines.add(option.machine());
      addOption(option.machine(), queue);
    }

    private void addOption(Machine machine, PriorityQueue<Option> queue) {
      List<Assignment> victims = selection.victimsFor(job, machine);
      if (victims != null) {
        queue.add(new Option(machine, victims, selection.loss(victims) + imageFetchLoss(machine)));
      }
    }

    /**
     * Returns the loss of fetching the image on the machine, in processor seconds: an urgent task
     * gains less from preemption where it first waits for its image.
     */
    private double imageFetchLoss(Machine machine) {
      boolean urgent =
          job.spec.priority() == Priority.PRODUCTION || job.spec.kind() == JobKind.GANG;
      return !urgent || machine.hasImage(job.spec.image())
          ? 0
          : FETCH_SECOND_LOSS_CPU_S * job.spec.imageGb() / machine.type.fetchGbPerSecond();
    }

    /**
     * Returns the valid option of least loss, or null if there is none. Options become invalid when
     * the job may place no more tasks in a zone, or when the usage of a victim's team falls to its
     * guarantee.
     */
    private Option leastLossOption(PriorityQueue<Option> queue) {
      while (!queue.isEmpty()) {
        Option option = queue.peek();
        if (!usage.zoneAllows(job, option.machine().zone)) {
          queue.poll();
        } else if (!option.victims().stream()
            .allMatch(victim -> selection.mayPreempt(job, victim))) {
          queue.poll();
          addOption(option.machine(), queue);
        } else {
          return option;
        }
      }
      return null;
    }
  }
}
