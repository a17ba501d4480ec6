package madderrudder.coordination.registry;

import java.util.List;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.JobRecords;
import madderrudder.persistence.Keys;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.StoreCodec.KeyValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the jobs of the cluster state and their records in the store in step: live jobs come from
 * the store, progress and completion go there. Confined to the event loop thread.
 */
public final class JobRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(JobRegistry.class);

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final LiveJobWatch watch;

  /**
   * Creates the registry of a term, without jobs.
   *
   * @param onChange called after jobs were submitted or cancelled
   */
  public JobRegistry(LeaderTerm term, MachineRegistry machines, Runnable onChange) {
    this.term = term;
    this.machines = machines;
    watch = new LiveJobWatch(term, new WatchListener(onChange));
  }

  private final class WatchListener implements LiveJobWatch.Listener {
    private final Runnable onChange;

    WatchListener(Runnable onChange) {
      this.onChange = onChange;
    }

    @Override
    public void submitted(KeyValue item) {
      add(item);
    }

    @Override
    public void deleted(String id, long sinceMicros) {
      liveKeyDeleted(id, sinceMicros);
    }

    @Override
    public void changed() {
      onChange.run();
    }
  }

  /**
   * The moment, on the scheduler's clock in microseconds, before which every accepted submission
   * and cancellation is known here.
   */
  public long knownUpToMicros() {
    return watch.knownUpToMicros();
  }

  /**
   * Takes over the stored jobs and starts to watch for new ones. A record that cannot be read is
   * logged and left out.
   *
   * @param readMicros when the reading of the stored state began
   */
  public void load(StoredState stored, long readMicros) {
    watch.knownUpTo(readMicros);
    stored.liveJobs().forEach(this::add);
    term.cluster.jobs.values().forEach(job -> job.inherited = true);
    stored.progress().forEach(this::loadProgress);
    watch.watch(stored.liveRevision());
  }

  private void loadProgress(KeyValue item) {
    String rest = item.key().substring(Keys.PROGRESS.length());
    int slash = rest.lastIndexOf('/');
    Job job = slash < 0 ? null : term.cluster.jobs.get(rest.substring(0, slash));
    if (job == null) {
      term.commits.add(new DeleteKeyChange(item.key()), Urgency.LATER);
      return;
    }
    try {
      JobRecords.readProgress(item.value(), Integer.parseInt(rest.substring(slash + 1)), job.done);
      if (JobRecords.readFailing(item.value())) {
        job.markFailing(term.scheduler.nowMicros());
      }
      job.done.clear(job.spec.tasks(), Math.max(job.spec.tasks(), job.done.length()));
      if (job.complete()) {
        save(job);
      }
    } catch (MalformedMessageException | NumberFormatException e) {
      LOG.error("{} is unreadable: {}", item.key(), e.getMessage());
    }
  }

  private void add(KeyValue item) {
    String id = item.key().substring(Keys.LIVE.length());
    if (term.cluster.jobs.containsKey(id)) {
      return;
    }
    try {
      JobRecords.Live live = JobRecords.readLive(item.value());
      JobSpec spec = live.spec();
      TeamQuota team = term.deployment.teams().get(spec.team());
      if (team == null) {
        // Accepted under other settings: it may not run now, but may if the settings change back.
        team = new TeamQuota(spec.team(), Resources.NONE, Resources.NONE);
      }
      term.cluster.jobs.put(
          id,
          new Job(
              spec, team, item.version(), live.acceptedWallMicros(), term.scheduler.nowMicros()));
    } catch (MalformedMessageException e) {
      LOG.error("job {} is unreadable: {}", id, e.getMessage());
    }
  }

  /** Either this leader moved the job to the finished ones, or its user cancelled it. */
  private void liveKeyDeleted(String id, long sinceMicros) {
    Job job = term.cluster.jobs.get(id);
    if (job == null || job.ended) {
      return;
    }
    LOG.debug("{} cancelled", id);
    for (Assignment assignment : job.assignments) {
      if (!assignment.completed) {
        term.cluster.markCancelled(assignment, sinceMicros);
      }
    }
    end(job);
    if (!job.done.isEmpty() || job.failing()) {
      for (String key : JobProgressChange.progressKeys(job)) {
        term.commits.add(new DeleteKeyChange(key), Urgency.LATER);
      }
    }
  }

  /** Removes a job that is over from the cluster state, and stops what still runs of it. */
  void end(Job job) {
    job.ended = true;
    term.cluster.jobs.remove(job.spec.id());
    for (Assignment assignment : List.copyOf(job.assignments)) {
      machines.evict(assignment);
      if (assignment.completed) {
        machines.release(assignment);
      }
    }
  }

  /** Records that a task has completed; the tasks of a gang complete together. */
  public void completed(Assignment assignment) {
    Job job = assignment.job;
    if (job == null || job.ended || job.spec.kind() == JobKind.SERVICE) {
      machines.release(assignment);
      return;
    }
    term.cluster.complete(assignment);
    job.completed();
    if (job.spec.kind() == JobKind.GANG) {
      job.done.set(0, job.spec.tasks());
    } else {
      job.done.set(assignment.task.index());
    }
    job.unwrittenChunks.set(JobProgressChange.chunkOf(assignment));
    save(job);
  }

  /**
   * Stores that the job's tasks fail on whatever machine they run, so that the next leader does not
   * retry all of them at once.
   */
  public void markFailing(Job job) {
    job.unwrittenChunks.set(0);
    save(job);
  }

  /**
   * Queues the job's progress for writing. The end of a job is more urgent, since its user waits
   * for it; until progress is durable, workers keep what they have completed.
   */
  void save(Job job) {
    Urgency urgency = job.complete() ? Urgency.SOON : Urgency.LATER;
    term.commits.add(new JobProgressChange(job, this, machines), urgency);
  }
}
