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

class SegmentedLogTest {
  private static final int SEGMENT_BYTES = 4096;
  private static final MachineType TYPE =
      new MachineType("g8", Resources.of(8, 0, 32), 0, 1, 0, 0, 0, List.of("east"));

  /** The log does not read the settings. */
  private final Cluster cluster = new Cluster(null, new EstimatedRunTimes());

  private final SegmentedLog log = new SegmentedLog(cluster, SEGMENT_BYTES);
  private final Map<String, LogSegment> store = new HashMap<>();
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
    log.pending().placed.add(assignment);
    return assignment;
  }

  private void release(Assignment assignment) {
    cluster.release(assignment, 0);
    log.pending().addEnded(assignment);
  }

  private void releaseDownTo(int count, List<Assignment> held, SplittableRandom random) {
    while (held.size() > count) {
      release(held.remove(random.nextInt(held.size())));
    }
  }

  private void commit(List<Write> writes) throws MalformedMessageException {
    for (Write write : writes) {
      assertTrue(write.value().length <= SEGMENT_BYTES, write.value().length + " bytes");
      store.put(write.key(), LogSegment.read(Json.readObject(write.value())));
    }
    log.commit(segment -> {});
  }

  private void commitAll() throws MalformedMessageException {
    while (!log.pending().isEmpty()) {
      commit(log.build());
    }
  }

  /** The attempts that are stored as being on machines. */
  private Set<String> storedPlacements() {
    return LogState.of(store.values()).placed().stream()
        .map(entry -> entry.task().index() + " on " + entry.machine())
        .collect(Collectors.toSet());
  }

  private Set<String> livePlacements() {
    return cluster.machines.values().stream()
        .flatMap(machine -> machine.assignments.values().stream())
        .map(assignment -> assignment.task.index() + " on " + assignment.machine.id)
        .collect(Collectors.toSet());
  }

  private Set<String> storedMachines() {
    return LogState.of(store.values()).machines().stream()
        .map(LogSegment.MachineEntry::id)
        .collect(Collectors.toSet());
  }

  @Test
  void whatIsCommittedIsReadBack() throws MalformedMessageException {
    Machine machine = addMachine("m-1");
    place(machine);
    log.pending().images.add(new MachineImage(machine, "img", 1.5));
    commitAll();
    assertEquals(Set.of("m-1"), storedMachines());
    assertEquals(Set.of("0 on m-1"), storedPlacements());
    assertEquals(
        List.of(new LogSegment.CachedImage("img", 1.5, "m-1")),
        LogState.of(store.values()).images());
  }

  @Test
  void anAttemptThatEndsBeforeItIsWrittenIsNeverWritten() throws MalformedMessageException {
    release(place(addMachine("m-1")));
    commitAll();
    LogSegment only = store.get(Keys.logSegment(0));
    assertEquals(List.of(), only.placed());
    assertEquals(List.of(), only.ended());
  }

  @Test
  void anAttemptThatHasEndedIsNoLongerRead() throws MalformedMessageException {
    Assignment assignment = place(addMachine("m-1"));
    commitAll();
    release(assignment);
    commitAll();
    assertEquals(Set.of(), storedPlacements());
  }

  @Test
  void theLogIsCompactedOnceItIsLargerThanItsLiveEntriesNeed() throws MalformedMessageException {
    Machine machine = addMachine("m-1");
    Assignment first = place(machine);
    commitAll();
    for (int i = 0; i < 2_000; i++) {
      release(place(machine));
      Assignment passing = place(machine);
      commitAll();
      release(passing);
    }
    commitAll();
    assertEquals(Set.of("m-1"), storedMachines());
    assertEquals(Set.of(first.task.index() + " on m-1"), storedPlacements());
    int entries = store.values().stream().mapToInt(segment -> segment.placed().size()).sum();
    assertTrue(entries <= 210, entries + " entries for two live ones");
  }

  @Test
  void aBuildThatIsRolledBackIsBuiltAgainWithWhatIsStillTrue() throws MalformedMessageException {
    Machine machine = addMachine("m-1");
    Assignment stays = place(machine);
    Assignment ends = place(machine);
    log.build();
    release(ends);
    log.rollBack();
    commit(log.build());
    assertEquals(1, store.size());
    assertEquals(Set.of(stays.task.index() + " on m-1"), storedPlacements());
    assertEquals(Set.of("m-1"), storedMachines());
  }

  @Test
  void aSuccessorContinuesTheNumbersAndSlotsOfAnEarlierLeader() throws MalformedMessageException {
    Machine machine = addMachine("m-1");
    Assignment assignment = place(machine);
    commitAll();
    SegmentedLog successor = new SegmentedLog(cluster, SEGMENT_BYTES);
    successor.load(0, store.get(Keys.logSegment(0)));
    assertEquals(machine.logReference, assignment.logReference);
    successor.pending().removedMachines.add("m-0");
    List<Write> writes = successor.build();
    LogSegment segment = LogSegment.read(Json.readObject(writes.get(0).value()));
    assertEquals(Keys.logSegment(1), writes.get(0).key());
    assertEquals(store.get(Keys.logSegment(0)).number() + 1, segment.number());
  }

  /**
   * Whatever happens between builds, once all is written the segments name exactly what is live.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void storedAndLivePlacementsAgreeAfterEveryCommit(long seed) throws MalformedMessageException {
    SplittableRandom random = new SplittableRandom(seed);
    List<Machine> machines = new ArrayList<>();
    List<Assignment> held = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      machines.add(addMachine("m-" + i));
    }
    for (int round = 0; round < 400; round++) {
      for (int i = random.nextInt(30); i > 0; i--) {
        held.add(place(machines.get(random.nextInt(machines.size()))));
      }
      releaseDownTo(25, held, random);
      List<Write> writes = log.build();
      releaseDownTo(20, held, random);
      if (random.nextBoolean()) {
        log.rollBack();
        commit(log.build());
      } else {
        commit(writes);
      }
      commitAll();
      assertEquals(livePlacements(), storedPlacements(), "round " + round);
    }
    assertEquals(10, storedMachines().size());
    Set<Long> numbers = new HashSet<>();
    store.values().forEach(segment -> assertTrue(numbers.add(segment.number())));
  }
}
