package madderrudder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import madderrudder.config.SettingsTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two builds of the program on the same settings, store, workers and peers. It guards against a
 * change of a name or form that leaves the process: a rolling upgrade would then lose jobs or
 * leases. It is not part of the usual run; the jar of the other build is given by
 *
 * <pre>mvn -B verify -Dtest=MainTest -Dit.test=MixedBuilds -DoldJar=FILE</pre>
 */
@Timeout(240)
class MixedBuilds {
  private static final ControllerJar NEW_JAR =
      new ControllerJar(Path.of("target", "madderrudder.jar"));
  private static final ControllerJar OLD_JAR =
      new ControllerJar(Path.of(System.getProperty("oldJar", NEW_JAR.path().toString())));

  /** A long lease leaves time in which a follower answers on behalf of a suspended leader. */
  private static final String OPERATOR_SETTINGS =
      "(madderrudder (threshold-s 0.25) (poll-s 0.5) (budget 10) (idle-s 60) (spot always) (hold-s 8)"
          + " (deputies on) (learned-run-times on))";

  /** Log lines of either build that show that it does not understand what the other has written. */
  private static final Pattern FAULT =
      Pattern.compile(
          "malformed|unreadable|reject(s|ed)|event failed|task failed, the loop|ERROR|WARN|Exception");

  /** The leader stores one changed page of learned run times in this time. */
  private static final long PAGE_INTERVAL_S = 10;

  private static final Pattern FIELD_PATH =
      Pattern.compile(
          "(deployment|external|members)[.\\[][\\w.\\[\\]]*|[a-z]+(-[a-z]+)+|(?m)^member");

  private static final String COMPLETED = "req-000001";
  private static final String ENDLESS = "req-000002";
  private static final String CANCELLED = "req-000003";
  private static final String SERVICE = "req-000004";
  private static final String ON_RENTED_MACHINE = "req-000005";
  private static final String OWNED_MACHINE = "m-000001";

  @TempDir Path folder;

  /** The first two tasks of the endless job complete: its progress is recorded. */
  private static boolean isEndless(String task) {
    return task.startsWith(SERVICE)
        || task.startsWith(ON_RENTED_MACHINE)
        || (task.startsWith(ENDLESS) && !task.endsWith("/0") && !task.endsWith("/1"));
  }

  private static String job(String id, String kind, String priority, int tasks, double cpus) {
    return String.format(
        "{\"id\":\"%s\",\"rig\":\"a\",\"crew\":\"alto\",\"cut\":\"%s\",\"rank\":\"%s\",\"strokes\":%d,"
            + "\"cores\":%.1f,\"accelerators\":0.0,\"mem_gb\":2.0,\"hull\":\"i\",\"image_gb\":1.0,"
            + "\"one_zone\":false,\"apart\":false,\"driftwood\":true,\"reckon_s\":%s,\"mark_s\":0.0,"
            + "\"stow_s\":0.0}",
        id, kind, priority, tasks, cpus, kind.equals("service") ? "0.0" : "5.0");
  }

  private static final Map<String, String> JOBS = new LinkedHashMap<>();

  static {
    JOBS.put(COMPLETED, job(COMPLETED, "array", "standard", 2, 1));
    JOBS.put(ENDLESS, job(ENDLESS, "array", "standard", 4, 1));
    JOBS.put(CANCELLED, job(CANCELLED, "array", "idle", 2, 1));
    JOBS.put(SERVICE, job(SERVICE, "service", "production", 2, 1));
    JOBS.put(ON_RENTED_MACHINE, job(ON_RENTED_MACHINE, "array", "standard", 1, 16));
  }

  @Test
  void eachBuildLeadsOnWhatTheOtherHasWritten() throws Exception {
    try (LoopbackCluster cluster =
        new LoopbackCluster(
            folder, OPERATOR_SETTINGS, List.of(OWNED_MACHINE), MixedBuilds::isEndless)) {
      cluster.start("n-0", OLD_JAR);
      awaitLeader(cluster, "n-0");
      cluster.start("n-1", NEW_JAR);
      cluster.start("n-2", OLD_JAR);
      submitAll(cluster);
      awaitJobStates(cluster);
      awaitRunTimesStored(cluster);
      String budgetLeft = metric(cluster, "n-0", "budget_left");
      String kinds = metric(cluster, "n-0", "kinds");
      assertTrue(Integer.parseInt(kinds) > 0, "the leader learns run times");
      assertTrue(Integer.parseInt(budgetLeft) < 10, "counted rentals leave " + budgetLeft);

      forwardsAndDelegates(cluster, "n-0", "n-1", "n-2");
      awaitLeader(cluster, "n-1");
      checkStateTakenOver(cluster, "n-1", budgetLeft, kinds);
      runAnotherJob(cluster, "req-000011");

      cluster.start("n-0", OLD_JAR);
      forwardsAndDelegates(cluster, "n-1", "n-0", "");
      awaitLeader(cluster, "n-0");
      checkStateTakenOver(cluster, "n-0", budgetLeft, kinds);
      runAnotherJob(cluster, "req-000012");

      cluster.start("n-1", NEW_JAR);
      awaitJobStates(cluster);
      assertEquals(List.of(), cluster.problems);
      List<String> faults =
          cluster.logLines().stream().filter(line -> FAULT.matcher(line).find()).toList();
      assertEquals(List.of(), faults);
    }
  }

  private static void awaitLeader(LoopbackCluster cluster, String leader) throws Exception {
    for (String member : cluster.running()) {
      cluster.await(
          member + " names " + leader + " as the leader",
          () ->
              cluster
                  .body(member, "GET", "/metrics", "")
                  .contains("\"leader\":\"" + leader + "\""));
    }
    cluster.await(
        leader + " has read the state",
        () -> cluster.body(leader, "GET", "/metrics", "").contains("\"budget_left\""));
  }

  private static void submitAll(LoopbackCluster cluster) throws Exception {
    List<String> members = cluster.running();
    int next = 0;
    for (Map.Entry<String, String> job : JOBS.entrySet()) {
      String member = members.get(next++ % members.size());
      assertEquals(201, cluster.status(member, "POST", "/v1/jobs", job.getValue()), job.getKey());
    }
    assertTrue(
        cluster
            .body("n-1", "POST", "/v1/jobs/" + CANCELLED + "/withdraw", "")
            .contains("\"aborted\""));
  }

  /** Waits until every controller answers for every job, submitted again too, as it should. */
  private static void awaitJobStates(LoopbackCluster cluster) throws Exception {
    for (String member : cluster.running()) {
      awaitState(cluster, member, COMPLETED, "\"trim\":\"done\"");
      awaitState(cluster, member, ENDLESS, "\"trim\":\"running\",\"done\":2,\"running\":2");
      awaitState(cluster, member, CANCELLED, "\"trim\":\"aborted\"");
      awaitState(cluster, member, SERVICE, "\"trim\":\"running\",\"done\":0,\"running\":2");
      awaitState(
          cluster, member, ON_RENTED_MACHINE, "\"trim\":\"running\",\"done\":0,\"running\":1");
      for (Map.Entry<String, String> job : JOBS.entrySet()) {
        assertEquals(
            200,
            cluster.status(member, "POST", "/v1/jobs", job.getValue()),
            member + " " + job.getKey());
      }
      assertEquals(404, cluster.status(member, "GET", "/v1/jobs/req-000099", ""), member);
    }
  }

  private static void awaitState(LoopbackCluster cluster, String member, String job, String state)
      throws Exception {
    cluster.await(
        member + " answers " + state + " for " + job,
        () -> cluster.body(member, "GET", "/v1/jobs/" + job, "").contains(state));
  }

  private static void awaitRunTimesStored(LoopbackCluster cluster) throws Exception {
    cluster.await("run times are stored", () -> cluster.stored("e/").contains("\"path\":\"e/"));
    String[] stored = new String[1];
    cluster.await(
        "all pages of run times are stored",
        () -> {
          String before = stored[0];
          stored[0] = cluster.stored("e/");
          TimeUnit.SECONDS.sleep(PAGE_INTERVAL_S + 1);
          return stored[0].equals(before);
        });
  }

  /**
   * A worker that keeps to a follower has its heartbeats forwarded to the leader, and answered on
   * the leader's behalf once the leader is suspended; the leader is then killed.
   *
   * @param leader the leader, of one build
   * @param follower a follower, of the other build
   * @param third a further controller to kill first, so that the follower leads next; or empty
   */
  private static void forwardsAndDelegates(
      LoopbackCluster cluster, String leader, String follower, String third) throws Exception {
    LoopbackWorker worker = cluster.worker(OWNED_MACHINE);
    worker.pinTo(follower);
    awaitIncrease(cluster, follower, "reports_passed_on");
    if (!third.isEmpty()) {
      cluster.kill(third);
    }
    cluster.suspend(leader);
    awaitIncrease(cluster, follower, "reports_stood_in");
    cluster.kill(leader);
    worker.pinTo("");
  }

  private static void awaitIncrease(LoopbackCluster cluster, String member, String counter)
      throws Exception {
    long before = Long.parseLong(metric(cluster, member, counter));
    cluster.await(
        member + " raises " + counter,
        () -> Long.parseLong(metric(cluster, member, counter)) >= before + 2);
  }

  private static String metric(LoopbackCluster cluster, String member, String name)
      throws Exception {
    String metrics = cluster.body(member, "GET", "/metrics", "");
    Matcher field = Pattern.compile("\"" + name + "\":([0-9]+)").matcher(metrics);
    assertTrue(field.find(), name + " is missing in " + metrics);
    return field.group(1);
  }

  private static void checkStateTakenOver(
      LoopbackCluster cluster, String leader, String budgetLeft, String kinds) throws Exception {
    awaitJobStates(cluster);
    assertEquals(budgetLeft, metric(cluster, leader, "budget_left"), "the budget is kept");
    assertEquals(kinds, metric(cluster, leader, "kinds"), "learned run times are kept");
  }

  private static void runAnotherJob(LoopbackCluster cluster, String id) throws Exception {
    for (String member : cluster.running()) {
      assertTrue(
          List.of(200, 201)
              .contains(
                  cluster.status(member, "POST", "/v1/jobs", job(id, "array", "urgent", 2, 1))));
      awaitState(cluster, member, id, "\"trim\":\"done\"");
    }
  }

  /** Both builds judge settings files alike. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "\"member\":\"n-0\",",
        "\"lease_s\":14.0,",
        ",\"peer_addr\":\"127.0.0.1:8082\"",
        "\"rps\":200.0,",
        "\"zones\":[\"east\",\"west\"],",
        ",\"clock_off_ms\":250.0"
      })
  void bothBuildsCheckSettingsAlike(String removed) throws Exception {
    Path settings =
        Files.writeString(
            folder.resolve("settings.json"),
            SettingsTest.VALID_PLATFORM_SETTINGS.replace(removed, ""));
    for (String operator : List.of("deploy/operator.sexp", "deploy/learned.sexp")) {
      assertEquals(check(OLD_JAR, settings, operator), check(NEW_JAR, settings, operator));
    }
    for (String faulty : List.of("(madderrudder (spot some))", "(madderrudder (hold 3))", "(")) {
      Path operator = Files.writeString(folder.resolve("faulty.sexp"), faulty);
      assertEquals(
          check(OLD_JAR, settings, operator.toString()),
          check(NEW_JAR, settings, operator.toString()));
    }
  }

  /**
   * The exit status of {@code check}, the number of lines that it prints, and the paths of fields
   * in them.
   */
  private String check(ControllerJar jar, Path settings, String operator) throws Exception {
    Path output = folder.resolve("output");
    Process process =
        jar.start(output, "check", "--operator", operator, "--config", settings.toString());
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    List<String> lines = Files.readAllLines(output);
    List<String> fields =
        FIELD_PATH.matcher(String.join("\n", lines)).results().map(MatchResult::group).toList();
    return process.exitValue() + ", " + lines.size() + " lines, " + fields;
  }
}
