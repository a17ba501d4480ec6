package madderrudder.coordination.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.EstimatedRunTimes;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.Keys;
import madderrudder.persistence.LogSegment;
import madderrudder.persistence.LogState;
import madderrudder.protocol.Json;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a log that loses live machines or assignments, or keeps ended attempts, when
 * entries change between building, rolling back and committing a batch or when the log is
 * compacted. Such a log would give the next leader a wrong cluster state.
 */
class SegmentedLogTest {
  private static final int SEGMENT_BYTES = 4096;
  private static final MachineType TYPE =
      new MachineType("g8", Resources.of(8, 0, 32), 0, 1, 0, 0, 0, List.of("east"));

  /** Has no settings, because the log does not read them. */
  private final Cluster cluster = new Cluster(null, new EstimatedRunTimes());

  private final SegmentedLog log = new SegmentedLog(cluster, SEGMENT_BYTES);
  private final Map<String, LogSegment> segmentsByKey = new HashMap<>();
  private int nextTask;

  private Machine addMachine(String id) {
    Machine machine = new Machine(id, TYPE, "east", false, true, 5, 0);
    cluster.add(machine);
    log.pending().machines.add(machine);
    return machine;
  }

  private Assignment place(Machine machine) {
    TaskId task = new TaskId("req-1", nextTask++);
    Assignment assignment =
        new Assignment(task, 1, machine, "alto", Resources.of(1, 0, 1), null, false, 0);
    cluster.addAssignment(assignment);
    log.pending().assignments.add(assignment);
    return assignment;
  }

  private void release(Assignment assignment) {
    cluster.release(assignment, 0);
    log.pending().addEndedAttempt(assignment);
  }

  private void releaseRandomDownTo(int count, List<Assignment> active, SplittableRandom random) {
    while (active.size() > count) {
      release(active.remove(random.nextInt(active.size())));
    }
  }

  private void commit(List<Write> writes) throws MalformedMessageException {
    for (Write write : writes) {
      assertTrue(
          write.value().length <= SEGMENT_BYTES, "segment of " + write.value().length + " bytes");
      segmentsByKey.put(write.key(), LogSegment.read(Json.readObject(write.value())));
    }
    log.markBatchCommitted(segment -> {});
  }

  private void commitAll() throws MalformedMessageException {
    while (!log.pending().isEmpty()) {
      commit(log.buildBatch());
    }
  }

  /** The tasks that the stored segments place on machines. */
  private Set<String> storedAssignments() {
    return LogState.of(segmentsByKey.values()).placements().stream()
        .map(entry -> entry.task().index() + " on " + entry.machine())
        .collect(Collectors.toSet());
  }

  private Set<String> liveAssignments() {
    return cluster.machines.values().stream()
        .flatMap(machine -> machine.assignments.values().stream())
        .map(assignment -> assignment.task.index() + " on " + assignment.machine.id)
        .collect(Collectors.toSet());
  }

  private Set<String> storedMachines() {
    return LogState.of(segmentsByKey.values()).machines().stream()
        .map(LogSegment.MachineEntry::id)
        .collect(Collectors.toSet());
  }

  @Test
  void committedEntriesAreReadBack() throws MalformedMessageException {
    Machine machine = addMachine("m-1");
    place(machine);
    log.pending().images.add(new MachineImage(machine, "img", 1.5));
    commitAll();
    assertEquals(Set.of("m-1"), storedMachines());
    assertEquals(Set.of("0 on m-1"), storedAssignments());
    assertEquals(
        List.of(new LogSegment.CachedImage("img", 1.5, "m-1")),
        LogState.of(segmentsByKey.values()).images());
  }

  @Test
  void attemptThatEndsWhilePendingIsNotWritten() throws MalformedMessageException {
    release(place(addMachine("m-1")));
    commitAll();
    LogSegment onlySegment = segmentsByKey.get(Keys.logSegment(0));
    assertEquals(List.of(), onlySegment.placements());
    assertEquals(List.of(), onlySegment.endedAttempts());
  }

  @Test
  void endedAttemptIsNotReadBack() throws MalformedMessageException {
    Assignment assignment = place(addMachine("m-1"));
    commitAll();
    release(assignment);
    commitAll();
    assertEquals(Set.of(), storedAssignments());
  }

  @Test
  void compactionBoundsTheLogByItsLiveEntries() throws MalformedMessageException {
    Machine machine = addMachine("m-1");
    Assignment live = place(machine);
    commitAll();
    for (int i = 0; i < 2_000; i++) {
      release(place(machine));
      Assignment shortLived = place(machine);
      commitAll();
      release(shortLived);
    }
    commitAll();
    assertEquals(Set.of("m-1"), storedMachines());
    assertEquals(Set.of(live.task.index() + " on m-1"), storedAssignments());
    int entries =
        segmentsByKey.values().stream().mapToInt(segment -> segment.placements().size()).sum();
    assertTrue(entries <= 210, entries + " stored entries for two live ones");
  }

  @Test
  void rolledBackBatchIsRebuiltWithoutObsoleteEntries() throws MalformedMessageException {
    Machine machine = addMachine("m-1");
    Assignment kept = place(machine);
    Assignment ended = place(machine);
    log.buildBatch();
    release(ended);
    log.rollBackBatch();
    commit(log.buildBatch());
    assertEquals(1, segmentsByKey.size());
    assertEquals(Set.of(kept.task.index() + " on m-1"), storedAssignments());
    assertEquals(Set.of("m-1"), storedMachines());
  }

  @Test
  void newLeaderContinuesSequenceNumbersAndSlotsOfEarlierLeader() throws MalformedMessageException {
    Machine machine = addMachine("m-1");
    Assignment assignment = place(machine);
    commitAll();
    SegmentedLog nextLog = new SegmentedLog(cluster, SEGMENT_BYTES);
    nextLog.load(0, segmentsByKey.get(Keys.logSegment(0)));
    assertEquals(machine.logReference, assignment.logReference);
    nextLog.pending().removedMachineIds.add("m-0");
    List<Write> writes = nextLog.buildBatch();
    LogSegment segment = LogSegment.read(Json.readObject(writes.get(0).value()));
    assertEquals(Keys.logSegment(1), writes.get(0).key());
    assertEquals(segmentsByKey.get(Keys.logSegment(0)).number() + 1, segment.number());
  }

  /**
   * Random assignments, releases and rollbacks: once all entries are committed, the segments
   * contain exactly the live assignments.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void storedAssignmentsMatchLiveOnesAfterEveryCommit(long seed) throws MalformedMessageException {
    SplittableRandom random = new SplittableRandom(seed);
    List<Machine> machines = new ArrayList<>();
    List<Assignment> active = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      machines.add(addMachine("m-" + i));
    }
    for (int round = 0; round < 400; round++) {
      for (int i = random.nextInt(30); i > 0; i--) {
        active.add(place(machines.get(random.nextInt(machines.size()))));
      }
      releaseRandomDownTo(25, active, random);
      List<Write> writes = log.buildBatch();
      releaseRandomDownTo(20, active, random);
      if (random.nextBoolean()) {
        log.rollBackBatch();
        commit(log.buildBatch());
      } else {
        commit(writes);
      }
      commitAll();
      assertEquals(liveAssignments(), storedAssignments(), "round " + round);
    }
    assertEquals(10, storedMachines().size());
    Set<Long> numbers = new HashSet<>();
    segmentsByKey.values().forEach(segment -> assertTrue(numbers.add(segment.number())));
  }
}
