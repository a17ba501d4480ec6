package madderrudder.coordination.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.state.Job;
import madderrudder.protocol.PeerMessage.JobProgress;

/** Reports the progress of jobs for the other controllers. Confined to the event loop thread. */
final class JobProgressReporter {
  private static final int MAX_JOBS_PER_BATCH = 1_000;

  private final LeaderTerm term;
  private int nextBatchStart;

  JobProgressReporter(LeaderTerm term) {
    this.term = term;
  }

  /** Returns the progress of a live job; empty if there is no such job. */
  Optional<JobProgress> progress(String id) {
    return Optional.ofNullable(term.cluster.jobs.get(id)).map(JobProgressReporter::progress);
  }

  /**
   * Returns the progress of at most {@link #MAX_JOBS_PER_BATCH} jobs. If there are more jobs, each
   * call continues where the last one ended.
   */
  List<JobProgress> nextBatch() {
    List<JobProgress> batch = new ArrayList<>();
    List<Job> jobs = new ArrayList<>(term.cluster.jobs.values());
    for (int i = 0; i < Math.min(MAX_JOBS_PER_BATCH, jobs.size()); i++) {
      batch.add(progress(jobs.get((nextBatchStart + i) % jobs.size())));
    }
    nextBatchStart =
        jobs.size() <= MAX_JOBS_PER_BATCH ? 0 : (nextBatchStart + MAX_JOBS_PER_BATCH) % jobs.size();
    return batch;
  }

  private static JobProgress progress(Job job) {
    return new JobProgress(job.spec.id(), job.done.cardinality(), job.runningCount());
  }
}
