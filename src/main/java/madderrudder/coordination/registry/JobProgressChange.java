package madderrudder.coordination.registry;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.JobRecords;
import madderrudder.persistence.Keys;
import madderrudder.persistence.PendingChange;
import madderrudder.protocol.JobState;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the changed chunks of a job's progress, or, once all its tasks are done, moves the job
 * from the live to the finished ones. When that is durable, the completed assignments it covers are
 * released.
 */
final class JobProgressChange implements PendingChange {
  private static final Logger LOG = LoggerFactory.getLogger(JobProgressChange.class);

  private final Job job;
  private final JobRegistry jobs;
  private final MachineRegistry machines;

  /** The completed assignments that the transaction under way covers. */
  private Set<Assignment> written = Set.of();

  /** The chunks that the transaction under way writes. */
  private BitSet chunks = new BitSet();

  private boolean finishing;

  JobProgressChange(Job job, JobRegistry jobs, MachineRegistry machines) {
    this.job = job;
    this.jobs = jobs;
    this.machines = machines;
  }

  /** The chunk of the job's progress that holds the task's bit. */
  static int chunkOf(Assignment assignment) {
    return assignment.task.index() / JobRecords.CHUNK;
  }

  /** The keys of all chunks of progress that the job may have. */
  static List<String> progressKeys(Job job) {
    List<String> keys = new ArrayList<>();
    for (int chunk = 0; chunk <= job.spec.tasks() / JobRecords.CHUNK; chunk++) {
      keys.add(Keys.progress(job.spec.id(), chunk));
    }
    return keys;
  }

  @Override
  public String name() {
    return Keys.live(job.spec.id());
  }

  @Override
  public List<Condition> conditions() {
    return List.of(new Condition(Keys.live(job.spec.id()), job.version));
  }

  @Override
  public List<Write> writes() {
    written = new LinkedHashSet<>();
    chunks = (BitSet) job.unwrittenChunks.clone();
    finishing = job.complete();
    for (Assignment assignment : job.assignments) {
      if (assignment.completed && (finishing || chunks.get(chunkOf(assignment)))) {
        written.add(assignment);
      }
    }
    return finishing ? finishWrites() : progressWrites();
  }

  private List<Write> finishWrites() {
    String id = job.spec.id();
    List<Write> writes = new ArrayList<>();
    writes.add(Write.delete(Keys.live(id)));
    writes.add(Write.put(Keys.finished(id), JobRecords.finished(JobState.DONE, job.spec.tasks())));
    progressKeys(job).forEach(key -> writes.add(Write.delete(key)));
    return writes;
  }

  private List<Write> progressWrites() {
    List<Write> writes = new ArrayList<>();
    chunks.stream()
        .forEach(
            chunk ->
                writes.add(
                    Write.put(
                        Keys.progress(job.spec.id(), chunk),
                        JobRecords.progress(job.done, chunk, job.failing()))));
    return writes;
  }

  @Override
  public void committed() {
    job.unwrittenChunks.andNot(chunks);
    markCompletedMeanwhile();
    if (finishing) {
      jobs.end(job);
    }
    if (!job.unwrittenChunks.isEmpty()) {
      jobs.save(job);
    }
    Set<Machine> released = new LinkedHashSet<>();
    for (Assignment assignment : written) {
      machines.release(assignment);
      released.add(assignment.machine);
    }
    released.forEach(machines::progressDurable);
  }

  /**
   * What completed while the transaction was under way is not part of what was written. It was once
   * taken for written: its worker was told to forget it, and a new leader started it again, beyond
   * its team's limit.
   */
  private void markCompletedMeanwhile() {
    for (Assignment assignment : job.assignments) {
      if (assignment.completed && !written.contains(assignment)) {
        job.unwrittenChunks.set(chunkOf(assignment));
      }
    }
  }

  /** The job's user cancelled it first; the watch of live jobs reports that. */
  @Override
  public void rejected() {
    LOG.debug("{} was over before its progress was written", job.spec.id());
  }
}
