import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Runs the regression set on the users' bench, and compares the scores in the bench's journal with
 * the baselines recorded in {@code bench/figures.json}. The bench simulates a site, which is a
 * cluster with its teams and jobs; a site is scored over several days, each with its own load and
 * faults. The exit status is 0 without a regression, 1 on a broken rule, a failed day or a fall of
 * a median score, 2 if a run can't be made or judged, and 3 if more rounds are needed to decide.
 */
final class Regress {
  private static final Path FIGURES_FILE = Path.of("bench", "figures.json");
  private static final Path JOURNAL_FOLDER = Path.of("journal");
  private static final String BENCH_EXECUTABLE = "more/hunt/bin/fleetbench";

  /** The largest fall of a median score that is accepted; the bench treats it as noise. */
  private static final double MAX_MEDIAN_FALL = 0.03;

  /** A day fails if a smaller share of any job class, or of any team's jobs, is served. */
  private static final double MIN_SERVED_SHARE = 0.5;

  /** Fewer rounds do not show how far the scores of unchanged code spread. */
  private static final int MIN_ROUNDS_TO_JUDGE = 3;

  /** More rounds add no information about a difference that is within the spread. */
  private static final int MAX_ROUNDS = 9;

  /** One row of a day's served shares in the journal: name, share of the work, share served. */
  private static final Pattern SERVED_ROW =
      Pattern.compile("\\[([^\\[\\],]+), ([0-9.]+), ([0-9.]+)\\]");

  private static final String HELP =
      """
            usage: bench/regress [--quick | --full] [--rounds N] [--hunt DAYS] [--all] [--kit DIR] [--why TEXT]
                   bench/regress days DAY... [--rounds N] [--kit DIR] [--why TEXT]
                   bench/regress compare ENTRY...
                   bench/regress record ENTRY...

            Runs the regression set and prints a table. The exit status is 1 on a broken rule, a failed day, or a fall of a
            median score by more than 0.03, and 3 if the rounds spread too far to tell whether the median has fallen.
              --quick      run the two hardest days of each site (the default)
              --full       run all standard days, and one that is drawn at random for this run
              --rounds N   run the set N times (1 to 9) and compare medians; a single run is not conclusive
              --hunt DAYS  then run DAYS days with other random seeds on each site, and on the sites for hunts only
              --all        include the sites outside the usual set
              --kit DIR    folder of the bench and the sites (default: ../given/kit)
              --why TEXT   purpose of the run, stored in the journal
            days           runs custom days (files as in bench/) on the large sites, and prints the smallest share served
                           of any class or team: of its jobs started, its jobs done, or its replica time
            compare        prints the table for runs that are in the journal
            record         records scores from the journal as the baseline of later runs; name all rounds of each site
            """;

  /** The outcome of a command, and its exit status. */
  private enum Verdict {
    PASSED(0),
    REGRESSED(1),
    NOT_JUDGED(2),
    UNDECIDED(3);

    private final int status;

    Verdict(int status) {
      this.status = status;
    }

    /** Returns the worse of two outcomes of a comparison: regressed, undecided, passed. */
    Verdict worse(Verdict other) {
      return this == REGRESSED || other == PASSED ? this : other;
    }

    static Verdict of(boolean passed) {
      return passed ? PASSED : REGRESSED;
    }
  }

  /** Thrown if a run can't be made or judged. */
  private static final class CannotJudgeException extends Exception {
    CannotJudgeException(String message) {
      super(message);
    }
  }

  /** The scores of the rounds of one kind of run on one site. */
  private record Rounds(List<Double> scores) {
    double median() {
      List<Double> sorted = scores.stream().sorted().toList();
      int size = sorted.size();
      return (sorted.get((size - 1) / 2) + sorted.get(size / 2)) / 2;
    }

    double min() {
      return scores.stream().min(Double::compare).orElseThrow();
    }

    double max() {
      return scores.stream().max(Double::compare).orElseThrow();
    }

    @Override
    public String toString() {
      return scores.size() == 1
          ? String.format(Locale.ROOT, "%.3f", median())
          : String.format(
              Locale.ROOT, "%.3f (%d: %.3f to %.3f)", median(), scores.size(), min(), max());
    }
  }

  /**
   * The recorded scores that later runs of a site are compared with.
   *
   * @param rounds the scores
   * @param entries the ids of the journal entries that have the scores, in the same order
   */
  private record Baseline(Rounds rounds, List<String> entries) {}

  /**
   * A site of the regression set.
   *
   * @param name the name of the site in the journal
   * @param file the path of the site's file in the kit
   * @param usual whether the site is run by default
   * @param large whether custom days are run on the site
   * @param hunted whether the site is only run by hunts; such a site has the layout of another one
   *     and days of its own
   * @param baselines the recorded scores by kind of run ({@code quick}, {@code full})
   */
  private record Site(
      String name,
      String file,
      boolean usual,
      boolean large,
      boolean hunted,
      Map<String, Baseline> baselines) {}

  /**
   * The result of one simulated day, from the journal.
   *
   * @param name the name of the day
   * @param score the score of the day
   * @param brokenRules the broken rules as JSON, or empty if there are none
   * @param fault why there is no result, or null
   * @param restarts how many processes of the service ended by themselves
   * @param served the share that was served of each class and team
   */
  private record Day(
      String name,
      double score,
      String brokenRules,
      String fault,
      long restarts,
      Map<String, Double> served) {
    /** Returns the reasons for which the day fails, whatever its score. */
    List<String> failures() {
      List<String> failures = new ArrayList<>();
      if (!brokenRules.isEmpty()) {
        failures.add(name + " broke " + brokenRules);
      }
      if (fault != null) {
        failures.add(name + " failed: " + fault.lines().findFirst().orElse(""));
      }
      underserved(served)
          .forEach(group -> failures.add(name + " served less than half of " + group));
      return failures;
    }
  }

  /**
   * A run of the bench, from the journal.
   *
   * @param id the id of the entry
   * @param command the command of the bench
   * @param quick whether the command had the option {@code --quick}
   * @param site the name of the site
   * @param score the score of the site, or below 0 if there is none, such as for a hunt
   * @param error why the run failed, or null
   * @param days the results of the days
   */
  private record JournalEntry(
      String id,
      String command,
      boolean quick,
      String site,
      double score,
      String error,
      List<Day> days) {
    /**
     * Returns the kind of run: {@code quick}, {@code full}, or the command if it gives no score.
     */
    String kind() {
      if (!command.equals("score")) {
        return command;
      }
      return quick ? "quick" : "full";
    }
  }

  private Regress() {}

  public static void main(String[] args) throws InterruptedException {
    try {
      List<Site> sites = readSites();
      boolean hasCommand = args.length > 0 && !args[0].startsWith("-");
      String command = hasCommand ? args[0] : "run";
      List<String> rest = Arrays.asList(args).subList(hasCommand ? 1 : 0, args.length);
      Verdict verdict =
          switch (command) {
            case "run" -> runRegressionSet(sites, parseOptions(rest, false));
            case "days" -> runCustomDays(sites, parseOptions(rest, true));
            case "compare" -> compareWithBaselines(sites, readEntries(rest));
            case "record" -> recordBaselines(sites, readEntries(rest));
            default ->
                throw new CannotJudgeException("unknown command " + command + "; see --help");
          };
      System.exit(verdict.status);
    } catch (CannotJudgeException | IOException e) {
      System.err.println("regress: " + e.getMessage());
      System.exit(Verdict.NOT_JUDGED.status);
    }
  }

  private static CommandLine parseOptions(List<String> args, boolean expectsDays)
      throws CannotJudgeException {
    Options options = new Options();
    for (String flag : List.of("quick", "full", "all", "help")) {
      options.addOption(Option.builder().longOpt(flag).get());
    }
    for (String value : List.of("hunt", "kit", "why", "rounds")) {
      options.addOption(Option.builder().longOpt(value).hasArg().get());
    }
    try {
      CommandLine line = new DefaultParser().parse(options, args.toArray(String[]::new));
      if (line.hasOption("help")) {
        System.out.print(HELP);
        System.exit(0);
      }
      if (line.getArgList().isEmpty() == expectsDays
          || line.hasOption("quick") && line.hasOption("full")
          || !line.getOptionValue("hunt", "1").matches("[1-9][0-9]{0,2}")
          || roundCount(line) > MAX_ROUNDS) {
        throw new CannotJudgeException(
            "invalid options, or options that exclude each other; see --help");
      }
      return line;
    } catch (ParseException e) {
      throw new CannotJudgeException(e.getMessage());
    }
  }

  /** Returns the value of {@code --rounds}, or a number above all limits if it is invalid. */
  private static int roundCount(CommandLine line) {
    String rounds = line.getOptionValue("rounds", "1");
    return rounds.matches("[1-9]") ? Integer.parseInt(rounds) : Integer.MAX_VALUE;
  }

  private static Path kitFolder(CommandLine line) throws CannotJudgeException {
    Path kit = Path.of(line.getOptionValue("kit", "../given/kit"));
    if (!Files.isExecutable(kit.resolve(BENCH_EXECUTABLE))) {
      throw new CannotJudgeException(
          "no bench at "
              + kit.resolve(BENCH_EXECUTABLE)
              + ": set --kit to the folder of the users' kit");
    }
    return kit;
  }

  private static Verdict runRegressionSet(List<Site> sites, CommandLine line)
      throws CannotJudgeException, IOException, InterruptedException {
    Path kit = kitFolder(line);
    List<Site> scoredSites =
        sites.stream()
            .filter(site -> site.usual() || line.hasOption("all") && !site.hunted())
            .toList();
    List<String> files =
        scoredSites.stream().map(site -> kit.resolve(site.file()).toString()).toList();
    String why = line.getOptionValue("why", "Regression run before a landing.");
    Set<Path> earlierEntries = new HashSet<>(journalFiles());
    List<String> scoreCommand = new ArrayList<>(List.of("score"));
    scoreCommand.addAll(files);
    scoreCommand.addAll(
        line.hasOption("full") ? List.of("--why", why) : List.of("--quick", "--why", why));
    boolean succeeded = true;
    for (int round = 0; round < roundCount(line); round++) {
      succeeded &= runBench(kit, scoreCommand);
    }
    if (line.hasOption("hunt")) {
      List<String> huntedFiles =
          sites.stream()
              .filter(site -> site.hunted() || scoredSites.contains(site))
              .map(site -> kit.resolve(site.file()).toString())
              .toList();
      for (String file : huntedFiles) {
        succeeded &=
            runBench(
                kit, List.of("hunt", file, "--days", line.getOptionValue("hunt"), "--why", why));
      }
    }
    List<JournalEntry> newEntries = new ArrayList<>();
    for (Path path : journalFiles()) {
      if (!earlierEntries.contains(path)) {
        newEntries.add(readEntry(path));
      }
    }
    Verdict verdict = compareWithBaselines(sites, newEntries);
    for (Site site : scoredSites) {
      if (newEntries.stream()
          .noneMatch(entry -> entry.score() >= 0 && site.name().equals(entry.site()))) {
        System.out.println("No score of " + site.name() + " was written.");
        verdict = Verdict.REGRESSED;
      }
    }
    if (!succeeded) {
      System.out.println("The bench reported a failure.");
      verdict = Verdict.REGRESSED;
    }
    return verdict;
  }

  /**
   * Runs custom days on the large sites. A day passes if it breaks no rule and the bench's report
   * shows that enough of each class and team was served.
   */
  private static Verdict runCustomDays(List<Site> sites, CommandLine line)
      throws CannotJudgeException, IOException, InterruptedException {
    Path kit = kitFolder(line);
    List<String> files = line.getArgList();
    boolean passed = true;
    System.out.printf("%-26s %-26s %8s  %s%n", "site", "day", "mark", "least served; what fails");
    for (Site site : sites) {
      if (!site.large()) {
        continue;
      }
      for (String file : files) {
        for (int round = 0; round < roundCount(line); round++) {
          passed &=
              runCustomDay(
                  kit, site, file, line.getOptionValue("why", "A day of our own, " + file + "."));
        }
      }
    }
    return Verdict.of(passed);
  }

  /** Runs a custom day on a site, prints its row of the table, and returns whether it passes. */
  private static boolean runCustomDay(Path kit, Site site, String file, String why)
      throws CannotJudgeException, IOException, InterruptedException {
    Set<Path> earlierEntries = new HashSet<>(journalFiles());
    Path report = Files.createTempFile("regress", ".json");
    try {
      List<String> args =
          List.of(
              "run",
              kit.resolve(site.file()).toString(),
              file,
              "--report",
              report.toString(),
              "--why",
              why);
      boolean succeeded = runBench(kit, args, ProcessBuilder.Redirect.DISCARD);
      List<String> failures =
          new ArrayList<>(succeeded ? List.of() : List.of("the bench reported a failure"));
      double score = -1;
      for (Path path : journalFiles()) {
        if (!earlierEntries.contains(path)) {
          JournalEntry entry = readEntry(path);
          for (Day day : entry.days()) {
            score = day.score();
            failures.addAll(day.failures());
          }
        }
      }
      Map<String, Double> served =
          score < 0 ? Map.of() : servedShares(Json.readObject(Files.readAllBytes(report)));
      underserved(served).forEach(group -> failures.add("served less than half of " + group));
      System.out.printf(
          Locale.ROOT,
          "%-26s %-26s %8.3f  %s; %s%n",
          site.name(),
          Path.of(file).getFileName(),
          score,
          formatLeastServed(served),
          failures.isEmpty() ? "none" : String.join("; ", failures));
      return failures.isEmpty() && score >= 0 && !served.isEmpty();
    } catch (MalformedMessageException e) {
      throw new CannotJudgeException(report + ": " + e.getMessage());
    } finally {
      Files.delete(report);
    }
  }

  /**
   * Returns the share of each class and team that was served, from a report of the bench. The share
   * of a class is the smaller of its jobs started and its replica time or jobs done; the share of a
   * team is its jobs started.
   */
  private static Map<String, Double> servedShares(JsonFields report)
      throws MalformedMessageException {
    Map<String, Double> served = new LinkedHashMap<>();
    JsonFields classes = report.object("classes");
    for (String name : classes.names()) {
      JsonFields counts = classes.object(name);
      double share = counts.amount("started") / Math.max(1, counts.amount("jobs"));
      if (counts.has("up")) {
        share = Math.min(share, counts.amount("up"));
      } else {
        share =
            Math.min(
                share,
                counts.amount("done")
                    / Math.max(1, counts.amount("jobs") - counts.amount("cancelled")));
      }
      served.put(name, share);
    }
    JsonFields teams = report.object("teams");
    for (String name : teams.names()) {
      JsonFields counts = teams.object(name);
      served.put("team " + name, counts.amount("started") / Math.max(1, counts.amount("jobs")));
    }
    return served;
  }

  /**
   * Returns the share of each class and team that was served, from a journal entry. Classes and
   * teams without any work are left out.
   */
  private static Map<String, Double> servedShares(String rows) {
    Map<String, Double> served = new LinkedHashMap<>();
    for (Matcher row = SERVED_ROW.matcher(rows); row.find(); ) {
      if (Double.parseDouble(row.group(2)) > 0) {
        served.put(row.group(1), Double.parseDouble(row.group(3)));
      }
    }
    return served;
  }

  /** Returns the classes and teams of which too small a share was served. */
  private static List<String> underserved(Map<String, Double> served) {
    return served.entrySet().stream()
        .filter(share -> share.getValue() < MIN_SERVED_SHARE)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Formats the smallest share, with its class or team. */
  private static String formatLeastServed(Map<String, Double> served) {
    return served.entrySet().stream()
        .min(Map.Entry.comparingByValue())
        .map(share -> String.format(Locale.ROOT, "%.2f of %s", share.getValue(), share.getKey()))
        .orElse("no class or team");
  }

  private static boolean runBench(Path kit, List<String> args)
      throws IOException, InterruptedException {
    return runBench(kit, args, ProcessBuilder.Redirect.INHERIT);
  }

  private static boolean runBench(Path kit, List<String> args, ProcessBuilder.Redirect output)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(List.of(kit.resolve(BENCH_EXECUTABLE).toString()));
    command.addAll(args);
    return new ProcessBuilder(command).inheritIO().redirectOutput(output).start().waitFor() == 0;
  }

  /**
   * Prints the table of the entries, and judges them: a broken rule, a failed day, or a fall of a
   * median score below its baseline is a regression.
   */
  private static Verdict compareWithBaselines(List<Site> sites, List<JournalEntry> entries) {
    System.out.printf(
        "%-26s %-6s %-9s %8s  %s%n",
        "site",
        "run",
        "entry",
        "score",
        "broken rules, failed days, processes ended by themselves");
    boolean passed = !entries.isEmpty();
    Map<String, List<JournalEntry>> entriesBySiteAndKind = new LinkedHashMap<>();
    for (JournalEntry entry : entries) {
      List<String> failures = failures(entry);
      // A process that ends by itself lowers the score, but is not a failure on its own.
      passed &= failures.isEmpty();
      printEntry(entry, failures);
      if (entry.score() >= 0) {
        entriesBySiteAndKind
            .computeIfAbsent(entry.site() + " " + entry.kind(), key -> new ArrayList<>())
            .add(entry);
      }
    }
    Verdict verdict = Verdict.of(passed);
    for (List<JournalEntry> rounds : entriesBySiteAndKind.values()) {
      verdict = verdict.worse(judgeMedian(sites, rounds));
    }
    return verdict;
  }

  /** Returns the reasons for which the run fails, whatever its score. */
  private static List<String> failures(JournalEntry entry) {
    List<String> failures = new ArrayList<>();
    if (entry.error() != null) {
      failures.add("failed: " + entry.error().lines().findFirst().orElse(""));
    }
    entry.days().forEach(day -> failures.addAll(day.failures()));
    return failures;
  }

  private static void printEntry(JournalEntry entry, List<String> failures) {
    long restarts = entry.days().stream().mapToLong(Day::restarts).sum();
    System.out.printf(
        Locale.ROOT,
        "%-26s %-6s %-9s %8s  %s%n",
        entry.site(),
        entry.kind(),
        entry.id(),
        entry.score() < 0 ? "-" : String.format(Locale.ROOT, "%.3f", entry.score()),
        (failures.isEmpty() ? "none" : String.join("; ", failures)) + ", " + restarts + " ended");
    for (Day day : entry.days()) {
      System.out.printf(
          Locale.ROOT,
          "    %-40s %.3f  served at least %s%n",
          day.name(),
          day.score(),
          formatLeastServed(day.served()));
    }
  }

  /**
   * Compares the median score of the rounds with that of the baseline. A fall is undecided while
   * there are too few rounds, or while the scores of the rounds overlap those of the baseline and
   * more rounds are allowed.
   *
   * @param entries the rounds of one kind of run on one site
   */
  private static Verdict judgeMedian(List<Site> sites, List<JournalEntry> entries) {
    JournalEntry first = entries.get(0);
    Rounds measured = new Rounds(entries.stream().map(JournalEntry::score).toList());
    Baseline baseline =
        sites.stream()
            .filter(site -> site.name().equals(first.site()))
            .findFirst()
            .map(site -> site.baselines().get(first.kind()))
            .orElse(null);
    if (baseline == null) {
      System.out.printf("%s, %s: median %s, none recorded%n", first.site(), first.kind(), measured);
      return Verdict.PASSED;
    }
    double change = measured.median() - baseline.rounds().median();
    Verdict verdict =
        change < -MAX_MEDIAN_FALL ? judgeFall(measured, baseline.rounds()) : Verdict.PASSED;
    String remark =
        switch (verdict) {
          case UNDECIDED -> ": within the spread, run more rounds (--rounds) to decide";
          case REGRESSED -> ": FALL";
          default -> "";
        };
    System.out.printf(
        Locale.ROOT,
        "%s, %s: median %s, recorded %s, %+.3f%s%n",
        first.site(),
        first.kind(),
        measured,
        baseline.rounds(),
        change,
        remark);
    return verdict;
  }

  private static Verdict judgeFall(Rounds measured, Rounds baseline) {
    boolean undecided =
        measured.scores().size() < MIN_ROUNDS_TO_JUDGE
            || measured.max() >= baseline.min() && measured.scores().size() < MAX_ROUNDS;
    return undecided ? Verdict.UNDECIDED : Verdict.REGRESSED;
  }

  /** Records the scores of journal entries as the baselines of their sites, and prints them. */
  private static Verdict recordBaselines(List<Site> sites, List<JournalEntry> entries)
      throws CannotJudgeException, IOException {
    Map<Site, Map<String, List<JournalEntry>>> entriesBySite = new LinkedHashMap<>();
    for (JournalEntry entry : entries) {
      Site site =
          sites.stream()
              .filter(known -> known.name().equals(entry.site()))
              .findFirst()
              .orElseThrow(
                  () ->
                      new CannotJudgeException(
                          "entry " + entry.id() + " has no site of the regression set"));
      if (entry.score() < 0
          || entry.error() != null
          || entry.days().stream().anyMatch(day -> !day.failures().isEmpty())) {
        throw new CannotJudgeException(
            "entry "
                + entry.id()
                + " has no score, or has an error, a broken rule or a failed day");
      }
      entriesBySite
          .computeIfAbsent(site, key -> new LinkedHashMap<>())
          .computeIfAbsent(entry.kind(), kind -> new ArrayList<>())
          .add(entry);
    }
    entriesBySite.forEach(
        (site, kinds) ->
            kinds.forEach(
                (kind, kindEntries) -> {
                  Rounds rounds =
                      new Rounds(kindEntries.stream().map(JournalEntry::score).toList());
                  site.baselines()
                      .put(
                          kind,
                          new Baseline(
                              rounds, kindEntries.stream().map(JournalEntry::id).toList()));
                  System.out.printf(
                      Locale.ROOT,
                      "%s, %s: %s of %s%n",
                      site.name(),
                      kind,
                      rounds,
                      String.join(", ", site.baselines().get(kind).entries()));
                }));
    writeFigures(sites);
    return Verdict.PASSED;
  }

  private static void writeFigures(List<Site> sites) throws IOException {
    Path newFile = FIGURES_FILE.resolveSibling("figures.json.new");
    try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(newFile))) {
      out.setPrettyPrinter(new DefaultPrettyPrinter());
      out.writeStartObject();
      out.writeArrayFieldStart("sites");
      for (Site site : sites) {
        out.writeStartObject();
        out.writeStringField("name", site.name());
        out.writeStringField("file", site.file());
        out.writeBooleanField("usual", site.usual());
        out.writeBooleanField("large", site.large());
        out.writeBooleanField("hunted", site.hunted());
        for (Map.Entry<String, Baseline> baseline : site.baselines().entrySet()) {
          out.writeArrayFieldStart(baseline.getKey());
          for (int i = 0; i < baseline.getValue().entries().size(); i++) {
            out.writeStartObject();
            out.writeNumberField("score", baseline.getValue().rounds().scores().get(i));
            out.writeStringField("entry", baseline.getValue().entries().get(i));
            out.writeEndObject();
          }
          out.writeEndArray();
        }
        out.writeEndObject();
      }
      out.writeEndArray();
      out.writeEndObject();
      out.writeRaw('\n');
    }
    Files.move(newFile, FIGURES_FILE, StandardCopyOption.REPLACE_EXISTING);
  }

  private static List<Site> readSites() throws CannotJudgeException, IOException {
    try {
      List<Site> sites = new ArrayList<>();
      for (JsonFields site : Json.readObject(Files.readAllBytes(FIGURES_FILE)).objects("sites")) {
        Map<String, Baseline> baselines = new LinkedHashMap<>();
        for (String kind : List.of("quick", "full")) {
          if (site.has(kind)) {
            List<Double> scores = new ArrayList<>();
            List<String> entries = new ArrayList<>();
            for (JsonFields round : site.objects(kind)) {
              scores.add(round.amount("score"));
              entries.add(round.text("entry"));
            }
            baselines.put(kind, new Baseline(new Rounds(scores), entries));
          }
        }
        sites.add(
            new Site(
                site.text("name"),
                site.text("file"),
                site.flag("usual"),
                site.flag("large", false),
                site.flag("hunted", false),
                baselines));
      }
      return sites;
    } catch (MalformedMessageException e) {
      throw new CannotJudgeException(FIGURES_FILE + ": " + e.getMessage());
    }
  }

  /** Returns the files of all journal entries, sorted by name. */
  private static List<Path> journalFiles() throws IOException {
    try (Stream<Path> files = Files.list(JOURNAL_FOLDER)) {
      return files.filter(path -> path.toString().endsWith(".json")).sorted().toList();
    }
  }

  private static List<JournalEntry> readEntries(List<String> ids)
      throws CannotJudgeException, IOException {
    if (ids.isEmpty()) {
      throw new CannotJudgeException("missing ids of journal entries; see --help");
    }
    List<JournalEntry> entries = new ArrayList<>();
    for (String id : ids) {
      List<Path> matches =
          journalFiles().stream()
              .filter(path -> path.toString().endsWith("-" + id + ".json"))
              .toList();
      if (matches.size() != 1) {
        throw new CannotJudgeException(
            "the journal has " + matches.size() + " entries with id " + id + ", expected 1");
      }
      entries.add(readEntry(matches.get(0)));
    }
    return entries;
  }

  private static JournalEntry readEntry(Path path) throws CannotJudgeException, IOException {
    try {
      JsonFields entry = Json.readObject(Files.readAllBytes(path));
      List<Day> days = new ArrayList<>();
      for (JsonFields day : entry.objects("days")) {
        String rules = day.has("rules") ? new String(day.object("rules").render()) : "{}";
        days.add(
            new Day(
                day.text("name", "?"),
                day.amount("score", day.amount("G", 0)),
                rules.equals("{}") ? "" : rules,
                day.text("fault", null),
                Math.round(day.amount("restarts", 0)),
                servedShares(day.asPlainText("served"))));
      }
      return new JournalEntry(
          entry.text("id"),
          entry.text("cmd"),
          entry.texts("argv").contains("--quick"),
          entry.text("site", "-"),
          entry.amount("score", -1),
          entry.flag("ok") ? null : entry.text("error", "not finished"),
          days);
    } catch (MalformedMessageException e) {
      throw new CannotJudgeException(path + ": " + e.getMessage());
    }
  }
}
