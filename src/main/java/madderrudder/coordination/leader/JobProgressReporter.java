package madderrudder.coordination.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.state.Job;
import madderrudder.protocol.PeerMessage.JobProgress;

/** Tells other controllers how far jobs have come. Confined to the event loop thread. */
final class JobProgressReporter {
  private static final int MAX_JOBS = 1_000;

  private final LeaderTerm term;
  private int nextIndex;

  JobProgressReporter(LeaderTerm term) {
    this.term = term;
  }

  /** How far a live job has come; empty if it is not known. */
  Optional<JobProgress> progress(String id) {
    return Optional.ofNullable(term.cluster.jobs.get(id)).map(JobProgressReporter::progress);
  }

  /** The progress of at most a thousand jobs, the next ones with each call if there are more. */
  List<JobProgress> nextBatch() {
    List<JobProgress> batch = new ArrayList<>();
    List<Job> jobs = new ArrayList<>(term.cluster.jobs.values());
    for (int i = 0; i < Math.min(MAX_JOBS, jobs.size()); i++) {
      batch.add(progress(jobs.get((nextIndex + i) % jobs.size())));
    }
    nextIndex = jobs.size() <= MAX_JOBS ? 0 : (nextIndex + MAX_JOBS) % jobs.size();
    return batch;
  }

  private static JobProgress progress(Job job) {
    return new JobProgress(job.spec.id(), job.done.cardinality(), job.runningCount());
  }
}
