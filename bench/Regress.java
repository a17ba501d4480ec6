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
 * Plays the regression set on the users' bench, and compares what its journal says with the figures
 * recorded in {@code bench/figures.json}. Exits with 0 if all is well, 1 on a broken rule, a failed
 * day or a fall, 2 if it can't run, 3 if it takes more rounds to tell.
 */
final class Regress {
  private static final Path FIGURES = Path.of("bench", "figures.json");
  private static final Path JOURNAL = Path.of("journal");
  private static final String BENCH = "more/hunt/bin/fleetbench";

  /** Below this the bench calls a change noise. */
  private static final double MOST_FALL = 0.03;

  /** A day fails if less than this share of any class of jobs, or of any team's, is served. */
  private static final double LEAST_SERVED = 0.5;

  /**
   * Fewer rounds say nothing of how far they spread; more tell nothing new of a difference that is
   * within the spread.
   */
  private static final int LEAST_ROUNDS = 3;

  private static final int MOST_ROUNDS = 9;
  private static final Pattern SERVED =
      Pattern.compile("\\[([^\\[\\],]+), ([0-9.]+), ([0-9.]+)\\]");
  private static final String HELP =
      """
            usage: bench/regress [--quick | --full] [--rounds N] [--hunt DAYS] [--all] [--kit DIR] [--why TEXT]
                   bench/regress days DAY... [--rounds N] [--kit DIR] [--why TEXT]
                   bench/regress compare ENTRY...
                   bench/regress record ENTRY...

            Plays the regression set and prints a table; exits with 1 on a broken rule, a failed day or a fall above 0.03
            of the median, and with 3 where the rounds spread too far to tell whether there is a fall.
              --quick      the two roughest days of each site (the default)
              --full       all standard days, and one drawn just now
              --rounds N   so many times; medians are compared, and one run is not a figure
              --hunt DAYS  then so many days with other luck on each site, and on those that are only hunted
              --all        the sites outside the usual set too
              --kit DIR    where the bench and the sites are (default: ../given/kit)
              --why TEXT   what the run is for; kept in the journal
            days           plays days of your own (files as in bench/) on the large sites, with each class's and team's
                           share served, least of jobs started or done and replica time
            compare        the table of runs that are in the journal already
            record         makes scores of the journal, all rounds of each site, what later ones are compared with
            """;

  /** How a command ended. */
  private enum Verdict {
    FINE(0),
    REGRESSED(1),
    UNABLE(2),
    UNDECIDED(3);

    private final int status;

    Verdict(int status) {
      this.status = status;
    }

    Verdict worse(Verdict other) {
      return this == REGRESSED || other == FINE ? this : other;
    }

    static Verdict of(boolean fine) {
      return fine ? FINE : REGRESSED;
    }
  }

  /** A run cannot be made or judged. */
  private static final class Unable extends Exception {
    Unable(String message) {
      super(message);
    }
  }

  /** Scores of the same kind of run of a site, each of its own round. */
  private record Rounds(List<Double> scores) {
    double median() {
      List<Double> sorted = scores.stream().sorted().toList();
      int size = sorted.size();
      return (sorted.get((size - 1) / 2) + sorted.get(size / 2)) / 2;
    }

    double least() {
      return scores.stream().min(Double::compare).orElseThrow();
    }

    double most() {
      return scores.stream().max(Double::compare).orElseThrow();
    }

    @Override
    public String toString() {
      return scores.size() == 1
          ? String.format(Locale.ROOT, "%.3f", median())
          : String.format(
              Locale.ROOT, "%.3f (%d: %.3f to %.3f)", median(), scores.size(), least(), most());
    }
  }

  /**
   * The figures that later runs of a site are compared with, and the journal's entries that they
   * stand in.
   */
  private record Recorded(Rounds rounds, List<String> entries) {}

  /**
   * A site of the set, with what is recorded of each kind of score ({@code quick}, {@code full}).
   * One that is hunted only has the layout of another, and recorded days of its own.
   */
  private record Site(
      String name,
      String file,
      boolean usual,
      boolean large,
      boolean hunted,
      Map<String, Recorded> recorded) {}

  /**
   * A day as the journal has it; {@code fault} says why there is no result, or is null; {@code
   * served} has the share of each class and team that was served.
   */
  private record Day(
      String name,
      double figure,
      String broken,
      String fault,
      long restarts,
      Map<String, Double> served) {
    /** What makes the day fail, whatever its figure. */
    List<String> failings() {
      List<String> failings = new ArrayList<>();
      if (!broken.isEmpty()) {
        failings.add(name + " broke " + broken);
      }
      if (fault != null) {
        failings.add(name + " failed: " + fault.lines().findFirst().orElse(""));
      }
      unserved(served).forEach(who -> failings.add(name + " served less than half of " + who));
      return failings;
    }
  }

  /** A run as the journal has it; a site's score is below 0 where there is none, as of a hunt. */
  private record Entry(
      String id,
      String command,
      boolean quick,
      String site,
      double score,
      String error,
      List<Day> days) {
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
      boolean named = args.length > 0 && !args[0].startsWith("-");
      String command = named ? args[0] : "run";
      List<String> rest = Arrays.asList(args).subList(named ? 1 : 0, args.length);
      Verdict verdict =
          switch (command) {
            case "run" -> play(sites, options(rest, false));
            case "days" -> days(sites, options(rest, true));
            case "compare" -> compare(sites, entries(rest));
            case "record" -> record(sites, entries(rest));
            default -> throw new Unable("unknown command " + command + "; see --help");
          };
      System.exit(verdict.status);
    } catch (Unable | IOException e) {
      System.err.println("regress: " + e.getMessage());
      System.exit(Verdict.UNABLE.status);
    }
  }

  private static CommandLine options(List<String> args, boolean days) throws Unable {
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
      if (line.getArgList().isEmpty() == days
          || line.hasOption("quick") && line.hasOption("full")
          || !line.getOptionValue("hunt", "1").matches("[1-9][0-9]{0,2}")
          || rounds(line) > MOST_ROUNDS) {
        throw new Unable("the options make no sense together; see --help");
      }
      return line;
    } catch (ParseException e) {
      throw new Unable(e.getMessage());
    }
  }

  private static int rounds(CommandLine line) {
    String rounds = line.getOptionValue("rounds", "1");
    return rounds.matches("[1-9]") ? Integer.parseInt(rounds) : Integer.MAX_VALUE;
  }

  private static Path kit(CommandLine line) throws Unable {
    Path kit = Path.of(line.getOptionValue("kit", "../given/kit"));
    if (!Files.isExecutable(kit.resolve(BENCH))) {
      throw new Unable("no bench at " + kit.resolve(BENCH) + ": name the users' kit with --kit");
    }
    return kit;
  }

  private static Verdict play(List<Site> sites, CommandLine line)
      throws Unable, IOException, InterruptedException {
    Path kit = kit(line);
    List<Site> played =
        sites.stream()
            .filter(site -> site.usual() || line.hasOption("all") && !site.hunted())
            .toList();
    List<String> files = played.stream().map(site -> kit.resolve(site.file()).toString()).toList();
    String why = line.getOptionValue("why", "Regression run before a landing.");
    Set<Path> before = new HashSet<>(journal());
    List<String> score = new ArrayList<>(List.of("score"));
    score.addAll(files);
    score.addAll(line.hasOption("full") ? List.of("--why", why) : List.of("--quick", "--why", why));
    boolean ended = true;
    for (int round = 0; round < rounds(line); round++) {
      ended &= bench(kit, score);
    }
    if (line.hasOption("hunt")) {
      List<String> hunted =
          sites.stream()
              .filter(site -> site.hunted() || played.contains(site))
              .map(site -> kit.resolve(site.file()).toString())
              .toList();
      for (String file : hunted) {
        ended &=
            bench(kit, List.of("hunt", file, "--days", line.getOptionValue("hunt"), "--why", why));
      }
    }
    List<Entry> written = new ArrayList<>();
    for (Path path : journal()) {
      if (!before.contains(path)) {
        written.add(read(path));
      }
    }
    Verdict verdict = compare(sites, written);
    for (Site site : played) {
      if (written.stream()
          .noneMatch(entry -> entry.score() >= 0 && site.name().equals(entry.site()))) {
        System.out.println("No score of " + site.name() + " was written.");
        verdict = Verdict.REGRESSED;
      }
    }
    if (!ended) {
      System.out.println("The bench reported a failure.");
      verdict = Verdict.REGRESSED;
    }
    return verdict;
  }

  /**
   * Plays days of one's own on the large sites; what the reports say of classes and teams decides.
   */
  private static Verdict days(List<Site> sites, CommandLine line)
      throws Unable, IOException, InterruptedException {
    Path kit = kit(line);
    List<String> files = line.getArgList();
    boolean fine = true;
    System.out.printf("%-26s %-26s %8s  %s%n", "site", "day", "mark", "least served; what fails");
    for (Site site : sites) {
      if (!site.large()) {
        continue;
      }
      for (String file : files) {
        for (int round = 0; round < rounds(line); round++) {
          fine &=
              day(kit, site, file, line.getOptionValue("why", "A day of our own, " + file + "."));
        }
      }
    }
    return Verdict.of(fine);
  }

  private static boolean day(Path kit, Site site, String file, String why)
      throws Unable, IOException, InterruptedException {
    Set<Path> before = new HashSet<>(journal());
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
      boolean ended = bench(kit, args, ProcessBuilder.Redirect.DISCARD);
      List<String> remarks =
          new ArrayList<>(ended ? List.of() : List.of("the bench reported a failure"));
      double figure = -1;
      for (Path path : journal()) {
        if (!before.contains(path)) {
          Entry entry = read(path);
          for (Day day : entry.days()) {
            figure = day.figure();
            remarks.addAll(day.failings());
          }
        }
      }
      Map<String, Double> served =
          figure < 0 ? Map.of() : served(Json.readObject(Files.readAllBytes(report)));
      unserved(served).forEach(who -> remarks.add("served less than half of " + who));
      System.out.printf(
          Locale.ROOT,
          "%-26s %-26s %8.3f  %s; %s%n",
          site.name(),
          Path.of(file).getFileName(),
          figure,
          least(served),
          remarks.isEmpty() ? "none" : String.join("; ", remarks));
      return remarks.isEmpty() && figure >= 0 && !served.isEmpty();
    } catch (MalformedMessageException e) {
      throw new Unable(report + ": " + e.getMessage());
    } finally {
      Files.delete(report);
    }
  }

  /**
   * The least served of each class and team as a report has it: of its jobs started or done, or of
   * its replica time.
   */
  private static Map<String, Double> served(JsonFields report) throws MalformedMessageException {
    Map<String, Double> served = new LinkedHashMap<>();
    JsonFields classes = report.object("classes");
    for (String name : classes.names()) {
      JsonFields in = classes.object(name);
      double share = in.amount("started") / Math.max(1, in.amount("jobs"));
      if (in.has("up")) {
        share = Math.min(share, in.amount("up"));
      } else {
        share =
            Math.min(
                share, in.amount("done") / Math.max(1, in.amount("jobs") - in.amount("cancelled")));
      }
      served.put(name, share);
    }
    JsonFields teams = report.object("teams");
    for (String name : teams.names()) {
      JsonFields in = teams.object(name);
      served.put("team " + name, in.amount("started") / Math.max(1, in.amount("jobs")));
    }
    return served;
  }

  /**
   * What the journal says of each class and team that asked for anything: the name, its part of the
   * work, the share served.
   */
  private static Map<String, Double> served(String rows) {
    Map<String, Double> served = new LinkedHashMap<>();
    for (Matcher row = SERVED.matcher(rows); row.find(); ) {
      if (Double.parseDouble(row.group(2)) > 0) {
        served.put(row.group(1), Double.parseDouble(row.group(3)));
      }
    }
    return served;
  }

  private static List<String> unserved(Map<String, Double> served) {
    return served.entrySet().stream()
        .filter(one -> one.getValue() < LEAST_SERVED)
        .map(Map.Entry::getKey)
        .toList();
  }

  private static String least(Map<String, Double> served) {
    return served.entrySet().stream()
        .min(Map.Entry.comparingByValue())
        .map(one -> String.format(Locale.ROOT, "%.2f of %s", one.getValue(), one.getKey()))
        .orElse("nothing known");
  }

  private static boolean bench(Path kit, List<String> args)
      throws IOException, InterruptedException {
    return bench(kit, args, ProcessBuilder.Redirect.INHERIT);
  }

  private static boolean bench(Path kit, List<String> args, ProcessBuilder.Redirect output)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(List.of(kit.resolve(BENCH).toString()));
    command.addAll(args);
    return new ProcessBuilder(command).inheritIO().redirectOutput(output).start().waitFor() == 0;
  }

  /** Prints the table; worse than fine on a broken rule, a failed day, or a fall of the median. */
  private static Verdict compare(List<Site> sites, List<Entry> entries) {
    System.out.printf(
        "%-26s %-6s %-9s %8s  %s%n",
        "site",
        "run",
        "entry",
        "score",
        "broken rules, failed days, processes ended by themselves");
    boolean fine = !entries.isEmpty();
    Map<String, List<Entry>> rounds = new LinkedHashMap<>();
    for (Entry entry : entries) {
      List<String> remarks = remarks(entry);
      // A process that ends by itself lowers the figure; alone it is no reason to refuse the run.
      fine &= remarks.isEmpty();
      print(entry, remarks);
      if (entry.score() >= 0) {
        rounds
            .computeIfAbsent(entry.site() + " " + entry.kind(), key -> new ArrayList<>())
            .add(entry);
      }
    }
    Verdict verdict = Verdict.of(fine);
    for (List<Entry> ofOneKind : rounds.values()) {
      verdict = verdict.worse(judge(sites, ofOneKind));
    }
    return verdict;
  }

  /** Why the run fails, whatever its score; empty if it does not. */
  private static List<String> remarks(Entry entry) {
    List<String> remarks = new ArrayList<>();
    if (entry.error() != null) {
      remarks.add("failed: " + entry.error().lines().findFirst().orElse(""));
    }
    entry.days().forEach(day -> remarks.addAll(day.failings()));
    return remarks;
  }

  private static void print(Entry entry, List<String> remarks) {
    long restarts = entry.days().stream().mapToLong(Day::restarts).sum();
    System.out.printf(
        Locale.ROOT,
        "%-26s %-6s %-9s %8s  %s%n",
        entry.site(),
        entry.kind(),
        entry.id(),
        entry.score() < 0 ? "-" : String.format(Locale.ROOT, "%.3f", entry.score()),
        (remarks.isEmpty() ? "none" : String.join("; ", remarks)) + ", " + restarts + " ended");
    for (Day day : entry.days()) {
      System.out.printf(
          Locale.ROOT,
          "    %-40s %.3f  served at least %s%n",
          day.name(),
          day.figure(),
          least(day.served()));
    }
  }

  /**
   * Compares the median of the rounds with that of the recorded ones. A fall that both sets of
   * rounds could hold between them is no finding: it takes more rounds to tell, until there are as
   * many as help.
   */
  private static Verdict judge(List<Site> sites, List<Entry> entries) {
    Entry first = entries.get(0);
    Rounds played = new Rounds(entries.stream().map(Entry::score).toList());
    Recorded recorded =
        sites.stream()
            .filter(site -> site.name().equals(first.site()))
            .findFirst()
            .map(site -> site.recorded().get(first.kind()))
            .orElse(null);
    if (recorded == null) {
      System.out.printf("%s, %s: median %s, none recorded%n", first.site(), first.kind(), played);
      return Verdict.FINE;
    }
    double change = played.median() - recorded.rounds().median();
    Verdict verdict = change < -MOST_FALL ? judgeFall(played, recorded.rounds()) : Verdict.FINE;
    String remark =
        switch (verdict) {
          case UNDECIDED -> ": within the spread, play more rounds (--rounds) to tell";
          case REGRESSED -> ": FALL";
          default -> "";
        };
    System.out.printf(
        Locale.ROOT,
        "%s, %s: median %s, recorded %s, %+.3f%s%n",
        first.site(),
        first.kind(),
        played,
        recorded.rounds(),
        change,
        remark);
    return verdict;
  }

  private static Verdict judgeFall(Rounds played, Rounds recorded) {
    boolean withinSpread =
        played.scores().size() < LEAST_ROUNDS
            || played.most() >= recorded.least() && played.scores().size() < MOST_ROUNDS;
    return withinSpread ? Verdict.UNDECIDED : Verdict.REGRESSED;
  }

  /** Makes scores of the journal the recorded figures, and says which. */
  private static Verdict record(List<Site> sites, List<Entry> entries) throws Unable, IOException {
    Map<Site, Map<String, List<Entry>>> all = new LinkedHashMap<>();
    for (Entry entry : entries) {
      Site site =
          sites.stream()
              .filter(known -> known.name().equals(entry.site()))
              .findFirst()
              .orElseThrow(() -> new Unable("entry " + entry.id() + " is of no site of the set"));
      if (entry.score() < 0
          || entry.error() != null
          || entry.days().stream().anyMatch(day -> !day.failings().isEmpty())) {
        throw new Unable(
            "entry " + entry.id() + " is no score without broken rules and failed days");
      }
      all.computeIfAbsent(site, s -> new LinkedHashMap<>())
          .computeIfAbsent(entry.kind(), kind -> new ArrayList<>())
          .add(entry);
    }
    all.forEach(
        (site, kinds) ->
            kinds.forEach(
                (kind, of) -> {
                  Rounds rounds = new Rounds(of.stream().map(Entry::score).toList());
                  site.recorded()
                      .put(kind, new Recorded(rounds, of.stream().map(Entry::id).toList()));
                  System.out.printf(
                      Locale.ROOT,
                      "%s, %s: %s of %s%n",
                      site.name(),
                      kind,
                      rounds,
                      String.join(", ", site.recorded().get(kind).entries()));
                }));
    write(sites);
    return Verdict.FINE;
  }

  private static void write(List<Site> sites) throws IOException {
    Path fresh = FIGURES.resolveSibling("figures.json.new");
    try (JsonGenerator out = new JsonFactory().createGenerator(Files.newBufferedWriter(fresh))) {
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
        for (Map.Entry<String, Recorded> figure : site.recorded().entrySet()) {
          out.writeArrayFieldStart(figure.getKey());
          for (int i = 0; i < figure.getValue().entries().size(); i++) {
            out.writeStartObject();
            out.writeNumberField("score", figure.getValue().rounds().scores().get(i));
            out.writeStringField("entry", figure.getValue().entries().get(i));
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
    Files.move(fresh, FIGURES, StandardCopyOption.REPLACE_EXISTING);
  }

  private static List<Site> readSites() throws Unable, IOException {
    try {
      List<Site> sites = new ArrayList<>();
      for (JsonFields in : Json.readObject(Files.readAllBytes(FIGURES)).objects("sites")) {
        Map<String, Recorded> recorded = new LinkedHashMap<>();
        for (String kind : List.of("quick", "full")) {
          if (in.has(kind)) {
            List<Double> scores = new ArrayList<>();
            List<String> entries = new ArrayList<>();
            for (JsonFields figure : in.objects(kind)) {
              scores.add(figure.amount("score"));
              entries.add(figure.text("entry"));
            }
            recorded.put(kind, new Recorded(new Rounds(scores), entries));
          }
        }
        sites.add(
            new Site(
                in.text("name"),
                in.text("file"),
                in.flag("usual"),
                in.flag("large", false),
                in.flag("hunted", false),
                recorded));
      }
      return sites;
    } catch (MalformedMessageException e) {
      throw new Unable(FIGURES + ": " + e.getMessage());
    }
  }

  private static List<Path> journal() throws IOException {
    try (Stream<Path> files = Files.list(JOURNAL)) {
      return files.filter(path -> path.toString().endsWith(".json")).sorted().toList();
    }
  }

  private static List<Entry> entries(List<String> ids) throws Unable, IOException {
    if (ids.isEmpty()) {
      throw new Unable("name the journal's entries; see --help");
    }
    List<Entry> entries = new ArrayList<>();
    for (String id : ids) {
      List<Path> named =
          journal().stream().filter(path -> path.toString().endsWith("-" + id + ".json")).toList();
      if (named.size() != 1) {
        throw new Unable("the journal has " + named.size() + " entries " + id);
      }
      entries.add(read(named.get(0)));
    }
    return entries;
  }

  private static Entry read(Path path) throws Unable, IOException {
    try {
      JsonFields in = Json.readObject(Files.readAllBytes(path));
      List<Day> days = new ArrayList<>();
      for (JsonFields day : in.objects("days")) {
        String broken = day.has("rules") ? new String(day.object("rules").render()) : "{}";
        days.add(
            new Day(
                day.text("name", "?"),
                day.amount("score", day.amount("G", 0)),
                broken.equals("{}") ? "" : broken,
                day.text("fault", null),
                Math.round(day.amount("restarts", 0)),
                served(day.asPlainText("served"))));
      }
      return new Entry(
          in.text("id"),
          in.text("cmd"),
          in.texts("argv").contains("--quick"),
          in.text("site", "-"),
          in.amount("score", -1),
          in.flag("ok") ? null : in.text("error", "not finished"),
          days);
    } catch (MalformedMessageException e) {
      throw new Unable(path + ": " + e.getMessage());
    }
  }
}
