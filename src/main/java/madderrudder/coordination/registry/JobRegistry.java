package madderrudder.coordination.registry;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.JobRecords;
import madderrudder.persistence.Keys;
import madderrudder.persistence.PendingChange;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.JobState;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Item;
import madderrudder.protocol.StoreCodec.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the live jobs in the store, and writes down what becomes of them. */
public final class JobRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(JobRegistry.class);
  private static final long RETRY_MICROS = 200_000;
  private static final long FOLLOW_MICROS = 2_000_000;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final Runnable onChange;
  private long knownUpToMicros;

  public JobRegistry(LeaderTerm term, MachineRegistry machines, Runnable onChange) {
    this.term = term;
    this.machines = machines;
    this.onChange = onChange;
  }

  /** Every submission and cancellation accepted before this moment is known here. */
  public long knownUpToMicros() {
    return knownUpToMicros;
  }

  public void load(StoredStateReader.Found found, long readMicros) {
    knownUpToMicros = readMicros;
    for (Item item : found.under(Keys.LIVE)) {
      add(item);
    }
    term.cluster.jobs.values().forEach(job -> job.inherited = true);
    for (Item item : found.under(Keys.PROGRESS)) {
      loadProgress(item);
    }
    follow(found.liveRevision());
  }

  private void loadProgress(Item item) {
    String rest = item.key().substring(Keys.PROGRESS.length());
    int slash = rest.lastIndexOf('/');
    Job job = slash < 0 ? null : term.cluster.jobs.get(rest.substring(0, slash));
    if (job == null) {
      term.commits.add(new DropChange(item.key()), Urgency.LATER);
      return;
    }
    try {
      JobRecords.readProgress(item.value(), Integer.parseInt(rest.substring(slash + 1)), job.done);
      if (JobRecords.readFaulty(item.value())) {
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

  private void follow(long revision) {
    long sentMicros = term.scheduler.nowMicros();
    term.store.follow(
        Keys.LIVE,
        revision,
        FOLLOW_MICROS,
        reply -> {
          if (term.closed()) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            long beforeMicros = knownUpToMicros;
            knownUpToMicros = sentMicros;
            for (Item item : reply.value().items()) {
              if (item.value() != null) {
                add(item);
              } else {
                dropped(item.key().substring(Keys.LIVE.length()), beforeMicros);
              }
            }
            if (!reply.value().items().isEmpty()) {
              onChange.run();
            }
            follow(reply.value().revision());
          } else if (reply.is(Outcome.GONE)) {
            term.election.stepDown("the watch of jobs has fallen too far behind");
          } else {
            term.after(RETRY_MICROS, () -> follow(revision));
          }
        });
  }

  private void add(Item item) {
    String id = item.key().substring(Keys.LIVE.length());
    if (term.cluster.jobs.containsKey(id)) {
      return;
    }
    try {
      JobRecords.Live live = JobRecords.readLive(item.value());
      JobSpec spec = live.spec();
      TeamQuota team = term.deployment.teams().get(spec.team());
      if (team == null) {
        // Accepted under other settings: it may not run now, and may again after a change back.
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

  /**
   * A live job's key is gone: either this leader moved it, or its user cancelled it, after the
   * moment given.
   */
  private void dropped(String id, long beforeMicros) {
    Job job = term.cluster.jobs.get(id);
    if (job == null || job.ended) {
      return;
    }
    LOG.debug("{} cancelled", id);
    for (Assignment assignment : job.assignments) {
      if (!assignment.completed) {
        term.cluster.markCancelled(assignment, beforeMicros);
      }
    }
    end(job);
    for (int chunk = 0; chunk <= job.spec.tasks() / JobRecords.CHUNK; chunk++) {
      if (!job.done.isEmpty() || job.failing()) {
        term.commits.add(new DropChange(Keys.progress(id, chunk)), Urgency.LATER);
      }
    }
  }

  private void end(Job job) {
    job.ended = true;
    term.cluster.jobs.remove(job.spec.id());
    for (Assignment assignment : List.copyOf(job.assignments)) {
      machines.evict(assignment);
      if (assignment.completed) {
        machines.release(assignment);
      }
    }
  }

  /** A task has completed; a gang's tasks complete together. */
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
    job.unwritten.set(chunkOf(assignment));
    save(job);
  }

  /** Kept, so that the next leader does not try all of its tasks again at once. */
  public void markFailing(Job job) {
    job.unwritten.set(0);
    save(job);
  }

  private static int chunkOf(Assignment assignment) {
    return assignment.task.index() / JobRecords.CHUNK;
  }

  /** A job's user waits for its end; until then its workers keep what they have completed. */
  private void save(Job job) {
    term.commits.add(new JobChange(job), job.complete() ? Urgency.SOON : Urgency.LATER);
  }

  /** Writes a job's progress, or moves it to the finished ones once all of it is done. */
  private final class JobChange implements PendingChange {
    private final Job job;
    private Set<Assignment> written = Set.of();
    private BitSet chunks = new BitSet();
    private boolean finishing;

    JobChange(Job job) {
      this.job = job;
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
      String id = job.spec.id();
      written = new LinkedHashSet<>();
      chunks = (BitSet) job.unwritten.clone();
      finishing = job.complete();
      for (Assignment assignment : job.assignments) {
        if (assignment.completed && (finishing || chunks.get(chunkOf(assignment)))) {
          written.add(assignment);
        }
      }
      List<Write> writes = new ArrayList<>();
      if (finishing) {
        writes.add(Write.delete(Keys.live(id)));
        writes.add(
            Write.put(Keys.finished(id), JobRecords.finished(JobState.DONE, job.spec.tasks())));
        for (int chunk = 0; chunk <= job.spec.tasks() / JobRecords.CHUNK; chunk++) {
          writes.add(Write.delete(Keys.progress(id, chunk)));
        }
      } else {
        chunks.stream()
            .forEach(
                chunk ->
                    writes.add(
                        Write.put(
                            Keys.progress(id, chunk),
                            JobRecords.progress(job.done, chunk, job.failing()))));
      }
      return writes;
    }

    @Override
    public void committed() {
      job.unwritten.andNot(chunks);
      // What completed while this was on its way is not in what was written. It once passed for
      // written: its worker
      // was told to forget it, and a new leader started it again, beyond its team's limit.
      for (Assignment assignment : job.assignments) {
        if (assignment.completed && !written.contains(assignment)) {
          job.unwritten.set(chunkOf(assignment));
        }
      }
      if (finishing) {
        end(job);
      }
      if (!job.unwritten.isEmpty()) {
        save(job);
      }
      Set<Machine> settled = new LinkedHashSet<>();
      for (Assignment assignment : written) {
        machines.release(assignment);
        settled.add(assignment.machine);
      }
      settled.forEach(machines::settled);
    }

    /** Its user cancelled it first; the watch brings that. */
    @Override
    public void rejected() {
      LOG.debug("{} was over before its progress was written", job.spec.id());
    }
  }

  /** Removes what a job that is over has left behind. */
  private record DropChange(String key) implements PendingChange {
    @Override
    public String name() {
      return key;
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.delete(key));
    }

    @Override
    public void committed() {
      LOG.debug("dropped {}", key);
    }
  }
}
