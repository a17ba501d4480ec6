package madderrudder.coordination.reconciliation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import madderrudder.coordination.reconciliation.MachineFacts.Listed;
import madderrudder.coordination.reconciliation.MachineFacts.Recorded;
import madderrudder.coordination.reconciliation.MachineFacts.Worker;
import madderrudder.coordination.reconciliation.ReconciliationModel.Bounds;
import madderrudder.coordination.reconciliation.ReconciliationModel.Fault;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.reconciliation.TaskFacts.GangState;
import madderrudder.coordination.reconciliation.TaskFacts.RecordOwner;
import madderrudder.coordination.reconciliation.TaskFacts.ReportedState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(60)
class TaskReconcilerTest {
  /** A longer search: {@code mvn test -Dtest=TaskReconcilerTest -Dstates=20000000}. */
  private static final int STATES = Integer.getInteger("states", 150_000);

  @ParameterizedTest
  @CsvSource({"1,3,4,2,2,2,1,0,0", "1,2,3,1,2,2,2,0,1", "2,3,2,1,2,1,1,0,0", "1,3,4,1,2,2,1,2,1"})
  void noTaskRunsTwiceInAnyCourseOfEvents(
      int tasks,
      int terms,
      int reports,
      int epochs,
      int attempts,
      int heldReports,
      int heldStarts,
      int copies,
      int exits) {
    ReconciliationModel model =
        new ReconciliationModel(
            new Bounds(
                tasks,
                terms,
                reports,
                epochs,
                attempts,
                heldReports,
                heldStarts,
                copies,
                exits,
                STATES),
            Fault.NONE);
    assertNull(model.explore());
    assertTrue(model.explored() > STATES / 8, "only " + model.explored() + " states");
  }

  private static final int COURSES = Integer.getInteger("courses", 8_000);

  /** Courses of events that are longer than all can be explored. */
  @ParameterizedTest
  @CsvSource({"1,3,12,3,3,3,2,0,1", "2,4,12,3,3,3,2,0,1", "1,4,14,2,3,3,2,8,3"})
  void noTaskRunsTwiceInLongCourses(
      int tasks,
      int terms,
      int reports,
      int epochs,
      int attempts,
      int heldReports,
      int heldStarts,
      int copies,
      int exits) {
    ReconciliationModel model =
        new ReconciliationModel(
            new Bounds(
                tasks, terms, reports, epochs, attempts, heldReports, heldStarts, copies, exits, 0),
            Fault.NONE);
    assertNull(model.walk(1, COURSES, 60));
    assertTrue(model.explored() > 30 * COURSES, "only " + model.explored() + " steps");
  }

  /**
   * Each rule is there for a reason: without it the exploration finds a course of events that
   * breaks one.
   */
  @ParameterizedTest
  @CsvSource({
    "TOKEN_IGNORED,2,0,1,1,0,0",
    "DIRECT_STARTS_IGNORED,1,0,1,1,0,0",
    "DONE_FORGOTTEN,1,0,1,1,0,0",
    "TOKEN_NOT_RAISED,1,0,1,1,1,1"
  })
  void eachRuleIsNeeded(
      Fault fault, int terms, int epochs, int heldReports, int heldStarts, int copies, int exits) {
    ReconciliationModel model =
        new ReconciliationModel(
            new Bounds(1, terms, 8, epochs, 2, heldReports, heldStarts, copies, exits, 0), fault);
    String found = model.walk(1, 200_000, 40);
    assertNotNull(found);
  }

  /** The rows of a table of the document, by its heading: cells as they are written. */
  private static List<List<String>> table(String heading) throws IOException {
    String text = Files.readString(Path.of("docs", "cold-start.md"));
    String section = text.substring(text.indexOf("\n## " + heading + "\n") + 1);
    List<List<String>> rows =
        section
            .substring(
                0, section.indexOf("\n## ", 1) < 0 ? section.length() : section.indexOf("\n## ", 1))
            .lines()
            .filter(line -> line.startsWith("| "))
            .map(line -> Stream.of(line.substring(1).split("\\|")).map(String::trim).toList())
            .toList();
    return rows.subList(2, rows.size());
  }

  private static boolean holds(List<String> row, Object... facts) {
    for (int i = 0; i < facts.length; i++) {
      String fact = facts[i] instanceof Boolean yes ? yes ? "yes" : "no" : facts[i].toString();
      if (!row.get(i).equals("*") && !List.of(row.get(i).split("/")).contains(fact)) {
        return false;
      }
    }
    return true;
  }

  private static void agrees(
      List<List<String>> rows,
      Set<List<String>> used,
      String verdict,
      String reason,
      Object... facts) {
    List<List<String>> holding = rows.stream().filter(row -> holds(row, facts)).toList();
    assertEquals(1, holding.size(), () -> List.of(facts) + " is in " + holding);
    assertEquals(
        List.of(verdict, reason),
        holding.get(0).subList(facts.length, facts.length + 2),
        () -> List.of(facts) + "");
    used.add(holding.get(0));
  }

  /**
   * What operators read of tasks is what the code does, in each of 1,080 combinations, and no row
   * stands for none.
   */
  @Test
  void theTableOfTasksIsTheCode() throws IOException {
    List<List<String>> rows = table("Tasks");
    Set<List<String>> used = new HashSet<>();
    for (RecordOwner record : RecordOwner.values()) {
      for (DesiredState desired : DesiredState.values()) {
        for (ReportedState reported : ReportedState.values()) {
          for (int bits = 0; bits < 8; bits++) {
            for (GangState gangState : GangState.values()) {
              TaskFacts facts =
                  new TaskFacts(
                      record,
                      desired,
                      reported,
                      (bits & 1) > 0,
                      (bits & 2) > 0,
                      (bits & 4) > 0,
                      gangState);
              TaskDecision decision = TaskReconciler.of(facts);
              agrees(
                  rows,
                  used,
                  decision.verdict().name(),
                  decision.reason(),
                  record,
                  desired,
                  reported,
                  facts.mayCome(),
                  facts.seen(),
                  facts.durable(),
                  gangState);
            }
          }
        }
      }
    }
    assertEquals(Set.copyOf(rows), used);
  }

  @Test
  void theTableOfMachinesIsTheCode() throws IOException {
    List<List<String>> rows = table("Machines");
    Set<List<String>> used = new HashSet<>();
    for (Recorded recorded : Recorded.values()) {
      for (Listed listed : Listed.values()) {
        for (Worker worker : Worker.values()) {
          for (int bits = 0; bits < 32; bits++) {
            MachineFacts facts =
                new MachineFacts(
                    recorded,
                    (bits & 1) > 0,
                    (bits & 2) > 0,
                    listed,
                    worker,
                    (bits & 4) > 0,
                    (bits & 8) > 0);
            MachineDecision decision = MachineReconciler.of(facts, (bits & 16) > 0);
            agrees(
                rows,
                used,
                decision.verdict().name(),
                decision.reason(),
                recorded,
                facts.owned(),
                facts.returning(),
                listed,
                worker,
                facts.empty(),
                facts.mostAlike(),
                (bits & 16) > 0);
          }
        }
      }
    }
    assertEquals(Set.copyOf(rows), used);
  }
}
