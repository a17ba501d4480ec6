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
 * Manages the jobs of the cluster state: reads live jobs from the store and watches for new and
 * cancelled ones, and queues progress and completions for writing. Confined to the event loop
 * thread.
 */
public final class JobRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(JobRegistry.class);

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final LiveJobWatch watch;

  /**
   * Creates the registry of a term, without jobs.
   *
   * @param machines the registry through which the jobs' tasks are evicted and released
   * @param onChange called after the watch has reported submitted or cancelled jobs
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
    public void onJobSubmitted(KeyValue item) {
      addJob(item);
    }

    @Override
    public void onJobDeleted(String id, long earliestMicros) {
      handleLiveKeyDeleted(id, earliestMicros);
    }

    @Override
    public void onPollProcessed() {
      onChange.run();
    }
  }

  /**
   * Returns the time, on the scheduler's clock in microseconds, up to which this registry reflects
   * every submission and cancellation that was accepted.
   */
  public long knownUpToMicros() {
    return watch.knownUpToMicros();
  }

  /**
   * Adds the stored jobs to the cluster state and starts to watch the live jobs in the store. An
   * unreadable record is logged and skipped.
   *
   * @param readStartMicros when the read of the stored state began, on the scheduler's clock
   */
  public void load(StoredState stored, long readStartMicros) {
    watch.setKnownUpToMicros(readStartMicros);
    stored.liveJobs().forEach(this::addJob);
    term.cluster.jobs.values().forEach(job -> job.inherited = true);
    stored.progressChunks().forEach(this::loadProgress);
    watch.watchFrom(stored.liveJobsRevision());
  }

  private void loadProgress(KeyValue item) {
    String jobAndChunk = item.key().substring(Keys.PROGRESS.length());
    int slash = jobAndChunk.lastIndexOf('/');
    Job job = slash < 0 ? null : term.cluster.jobs.get(jobAndChunk.substring(0, slash));
    if (job == null) {
      term.commitQueue.add(new DeleteKeyChange(item.key()), Urgency.DEFERRED);
      return;
    }
    job.progressStored = true;
    try {
      JobRecords.decodeProgress(
          item.value(), Integer.parseInt(jobAndChunk.substring(slash + 1)), job.done);
      if (JobRecords.readFailing(item.value())) {
        job.inheritFailing(term.scheduler.nowMicros());
      }
      job.done.clear(job.spec.tasks(), Math.max(job.spec.tasks(), job.done.length()));
      if (job.complete()) {
        queueProgress(job);
      }
    } catch (MalformedMessageException | NumberFormatException e) {
      LOG.error("progress record {} is unreadable: {}", item.key(), e.getMessage());
    }
  }

  private void addJob(KeyValue item) {
    String id = item.key().substring(Keys.LIVE.length());
    if (term.cluster.jobs.containsKey(id)) {
      return;
    }
    try {
      JobRecords.Live stored = JobRecords.decodeLive(item.value());
      JobSpec spec = stored.spec();
      TeamQuota team = term.deployment.teams().get(spec.team());
      if (team == null) {
        // The job was accepted under settings that listed its team. With an empty quota it waits,
        // and it can run once the settings list the team again.
        team = new TeamQuota(spec.team(), Resources.NONE, Resources.NONE);
      }
      term.cluster.jobs.put(
          id,
          new Job(
              spec, team, item.version(), stored.acceptedWallMicros(), term.scheduler.nowMicros()));
    } catch (MalformedMessageException e) {
      LOG.error("skipped job {} with an unreadable record: {}", id, e.getMessage());
    }
  }

  /**
   * Handles the deletion of a job's live key: either this leader has replaced it by a finished
   * record, or the job's user has cancelled the job.
   *
   * @param earliestMicros a lower bound of the time at which the deletion was accepted
   */
  private void handleLiveKeyDeleted(String id, long earliestMicros) {
    Job job = term.cluster.jobs.get(id);
    if (job == null || job.ended) {
      return;
    }
    LOG.debug("job {} cancelled", id);
    for (Assignment assignment : job.assignments) {
      if (!assignment.completed) {
        term.cluster.markCancelled(assignment, earliestMicros);
      }
    }
    endJob(job);
    if (job.progressStored) {
      for (String key : JobProgressChange.progressKeys(job)) {
        term.commitQueue.add(new DeleteKeyChange(key), Urgency.DEFERRED);
      }
    }
  }

  /** Removes a job that has ended from the cluster state, and evicts its remaining tasks. */
  void endJob(Job job) {
    job.ended = true;
    term.cluster.jobs.remove(job.spec.id());
    for (Assignment assignment : List.copyOf(job.assignments)) {
      machines.markForEviction(assignment);
      if (assignment.completed) {
        machines.release(assignment);
      }
    }
  }

  /** Records that a task has completed. The tasks of a gang complete together. */
  public void recordCompletion(Assignment assignment) {
    Job job = assignment.job;
    if (job == null || job.ended || job.spec.kind() == JobKind.SERVICE) {
      machines.release(assignment);
      return;
    }
    term.cluster.recordCompletion(assignment);
    job.recordCompletion();
    if (job.spec.kind() == JobKind.GANG) {
      job.done.set(0, job.spec.tasks());
    } else {
      job.done.set(assignment.task.index());
    }
    job.unwrittenChunks.set(JobProgressChange.chunkOf(assignment));
    queueProgress(job);
  }

  /**
   * Queues for writing that the job's tasks fail on every machine, so that the next leader does not
   * retry all of them at once, or that they no longer do, so that it does not hold them back.
   */
  public void queueFailingChange(Job job) {
    job.unwrittenChunks.set(0);
    queueProgress(job);
  }

  /** Ends the state of failing jobs that turn out not to fail on every machine. */
  public void reviewFailingJobs(long nowMicros) {
    for (Job job : term.cluster.jobs.values()) {
      job.reviewFailing(nowMicros)
          .ifPresent(
              end -> {
                LOG.info(
                    "job {} no longer counts as failing on every machine: {}",
                    job.spec.id(),
                    end.description());
                queueFailingChange(job);
              });
    }
  }

  /**
   * Queues the job's progress for writing. The end of a job is more urgent, because its user waits
   * for it. Other progress can wait, because workers keep a completed task until its completion is
   * durable.
   */
  void queueProgress(Job job) {
    Urgency urgency = job.complete() ? Urgency.NORMAL : Urgency.DEFERRED;
    term.commitQueue.add(new JobProgressChange(job, this, machines), urgency);
  }
}
