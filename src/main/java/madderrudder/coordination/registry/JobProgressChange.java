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
 * Writes the changed chunks of a job's progress or, once all its tasks are done, replaces the job's
 * live record by a finished record. When the writes are durable, the completed assignments that
 * they cover are released.
 */
final class JobProgressChange implements PendingChange {
  private static final Logger LOG = LoggerFactory.getLogger(JobProgressChange.class);

  private final Job job;
  private final JobRegistry jobs;
  private final MachineRegistry machines;

  /** The completed assignments that the in-flight transaction covers. */
  private Set<Assignment> coveredAssignments = Set.of();

  /** The chunks that the in-flight transaction writes. */
  private BitSet writtenChunks = new BitSet();

  /** Whether the in-flight transaction writes the end of the job. */
  private boolean finishing;

  JobProgressChange(Job job, JobRegistry jobs, MachineRegistry machines) {
    this.job = job;
    this.jobs = jobs;
    this.machines = machines;
  }

  /** Returns the number of the progress chunk that contains the bit of the assignment's task. */
  static int chunkOf(Assignment assignment) {
    return assignment.task.index() / JobRecords.TASKS_PER_CHUNK;
  }

  /** Returns the keys of all progress chunks that the job may have in the store. */
  static List<String> progressKeys(Job job) {
    List<String> keys = new ArrayList<>();
    for (int chunk = 0; chunk <= job.spec.tasks() / JobRecords.TASKS_PER_CHUNK; chunk++) {
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
    coveredAssignments = new LinkedHashSet<>();
    writtenChunks = (BitSet) job.unwrittenChunks.clone();
    finishing = job.complete();
    for (Assignment assignment : job.assignments) {
      if (assignment.completed && (finishing || writtenChunks.get(chunkOf(assignment)))) {
        coveredAssignments.add(assignment);
      }
    }
    return finishing ? finishWrites() : progressWrites();
  }

  private List<Write> finishWrites() {
    String id = job.spec.id();
    List<Write> writes = new ArrayList<>();
    writes.add(Write.delete(Keys.live(id)));
    writes.add(
        Write.put(Keys.finished(id), JobRecords.encodeFinished(JobState.DONE, job.spec.tasks())));
    progressKeys(job).forEach(key -> writes.add(Write.delete(key)));
    return writes;
  }

  private List<Write> progressWrites() {
    job.progressStored = true;
    List<Write> writes = new ArrayList<>();
    writtenChunks.stream()
        .forEach(
            chunk ->
                writes.add(
                    Write.put(
                        Keys.progress(job.spec.id(), chunk),
                        JobRecords.encodeProgress(job.done, chunk, job.failing()))));
    return writes;
  }

  @Override
  public void committed() {
    job.unwrittenChunks.andNot(writtenChunks);
    markUncoveredCompletions();
    if (finishing) {
      jobs.endJob(job);
    }
    if (!job.unwrittenChunks.isEmpty()) {
      jobs.queueProgress(job);
    }
    Set<Machine> affectedMachines = new LinkedHashSet<>();
    for (Assignment assignment : coveredAssignments) {
      machines.release(assignment);
      affectedMachines.add(assignment.machine);
    }
    affectedMachines.forEach(machines::notifyProgressDurable);
  }

  /**
   * Marks the chunks of tasks that completed while the transaction was in flight as unwritten,
   * because the transaction does not cover them. If they counted as written, their workers would
   * drop tasks whose completion is not durable, and a new leader would start these tasks again,
   * beyond their team's limit.
   */
  private void markUncoveredCompletions() {
    for (Assignment assignment : job.assignments) {
      if (assignment.completed && !coveredAssignments.contains(assignment)) {
        job.unwrittenChunks.set(chunkOf(assignment));
      }
    }
  }

  /** The job's user cancelled the job first. {@link LiveJobWatch} reports the cancellation. */
  @Override
  public void rejected() {
    LOG.debug("job {} ended before its progress was written", job.spec.id());
  }
}
