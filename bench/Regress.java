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
import java.util.stream.Stream;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessage;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Plays the regression set on the users' bench, and compares what its journal says with the figures recorded in
 * {@code bench/figures.json}. Exits with 0 if all is well, 1 on a broken rule, a failed day or a fall, 2 if it can't run.
 */
final class Regress {
    private static final Path FIGURES = Path.of("bench", "figures.json");
    private static final Path JOURNAL = Path.of("journal");
    private static final String BENCH = "more/fleet/bin/fleetbench";
    /** Below this the bench calls a change noise. */
    private static final double MOST_FALL = 0.03;
    private static final int REGRESSED = 1;
    private static final int UNABLE = 2;
    private static final String HELP = """
            usage: bench/regress [--quick | --full] [--hunt DAYS] [--all] [--kit DIR] [--why TEXT]
                   bench/regress compare ENTRY...
                   bench/regress record ENTRY...

            Plays the regression set and prints a table; exits with 1 on a broken rule, a failed day or a fall above 0.03.
              --quick      the two roughest days of each site (the default)
              --full       all standard days, and one drawn just now
              --hunt DAYS  then so many days with other luck on each site
              --all        the sites outside the usual set too
              --kit DIR    where the bench and the sites are (default: ../given/kit)
              --why TEXT   what the run is for; kept in the journal
            compare        the table of runs that are in the journal already
            record         makes a score of the journal the figure that later ones are compared with
            """;

    /** A run cannot be made or judged. */
    private static final class Unable extends Exception {
        Unable(String message) {
            super(message);
        }
    }

    /** The figure that later runs of a site are compared with, and the journal's entry that it stands in. */
    private record Recorded(double score, String entry) {
    }

    /** A site of the set, with what is recorded of each kind of score ({@code quick}, {@code full}). */
    private record Site(String name, String file, boolean usual, Map<String, Recorded> recorded) {
    }

    /** A day as the journal has it; {@code fault} says why there is no result, or is null. */
    private record Day(String name, double figure, String broken, String fault, long restarts) {
    }

    /** A run as the journal has it; a site's score is below 0 where there is none, as of a hunt. */
    private record Entry(String id, String command, boolean quick, String site, double score, String error,
            List<Day> days) {
        String kind() {
            return command.equals("score") ? quick ? "quick" : "full" : command;
        }
    }

    private Regress() {
    }

    public static void main(String[] args) throws InterruptedException {
        try {
            List<Site> sites = readSites();
            boolean named = args.length > 0 && !args[0].startsWith("-");
            String command = named ? args[0] : "run";
            List<String> rest = Arrays.asList(args).subList(named ? 1 : 0, args.length);
            boolean fine = switch (command) {
                case "run" -> play(sites, options(rest));
                case "compare" -> compare(sites, entries(rest));
                case "record" -> record(sites, entries(rest));
                default -> throw new Unable("unknown command " + command + "; see --help");
            };
            System.exit(fine ? 0 : REGRESSED);
        } catch (Unable | IOException e) {
            System.err.println("regress: " + e.getMessage());
            System.exit(UNABLE);
        }
    }

    private static CommandLine options(List<String> args) throws Unable {
        Options options = new Options();
        for (String flag : List.of("quick", "full", "all", "help")) {
            options.addOption(Option.builder().longOpt(flag).get());
        }
        for (String value : List.of("hunt", "kit", "why")) {
            options.addOption(Option.builder().longOpt(value).hasArg().get());
        }
        try {
            CommandLine line = new DefaultParser().parse(options, args.toArray(String[]::new));
            if (line.hasOption("help")) {
                System.out.print(HELP);
                System.exit(0);
            }
            if (!line.getArgList().isEmpty() || line.hasOption("quick") && line.hasOption("full")
                    || line.hasOption("hunt") && !line.getOptionValue("hunt").matches("[1-9][0-9]{0,2}")) {
                throw new Unable("the options make no sense together; see --help");
            }
            return line;
        } catch (ParseException e) {
            throw new Unable(e.getMessage());
        }
    }

    private static boolean play(List<Site> sites, CommandLine line) throws Unable, IOException, InterruptedException {
        Path kit = Path.of(line.getOptionValue("kit", "../given/kit"));
        if (!Files.isExecutable(kit.resolve(BENCH))) {
            throw new Unable("no bench at " + kit.resolve(BENCH) + ": name the users' kit with --kit");
        }
        List<Site> played = sites.stream().filter(site -> site.usual() || line.hasOption("all")).toList();
        List<String> files = played.stream().map(site -> kit.resolve(site.file()).toString()).toList();
        String why = line.getOptionValue("why", "Regression run before a landing.");
        Set<Path> before = new HashSet<>(journal());
        List<String> score = new ArrayList<>(List.of("score"));
        score.addAll(files);
        score.addAll(line.hasOption("full") ? List.of("--why", why) : List.of("--quick", "--why", why));
        boolean ended = bench(kit, score);
        if (line.hasOption("hunt")) {
            for (String file : files) {
                ended &= bench(kit, List.of("hunt", file, "--days", line.getOptionValue("hunt"), "--why", why));
            }
        }
        List<Entry> written = new ArrayList<>();
        for (Path path : journal()) {
            if (!before.contains(path)) {
                written.add(read(path));
            }
        }
        boolean fine = compare(sites, written);
        for (Site site : played) {
            if (written.stream().noneMatch(entry -> entry.score() >= 0 && site.name().equals(entry.site()))) {
                System.out.println("No score of " + site.name() + " was written.");
                fine = false;
            }
        }
        if (!ended) {
            System.out.println("The bench reported a failure.");
        }
        return fine && ended;
    }

    private static boolean bench(Path kit, List<String> args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(kit.resolve(BENCH).toString()));
        command.addAll(args);
        return new ProcessBuilder(command).inheritIO().start().waitFor() == 0;
    }

    /** Prints the table; false on a broken rule, a failed day or a fall. */
    private static boolean compare(List<Site> sites, List<Entry> entries) {
        System.out.printf("%-26s %-6s %8s %8s %8s  %-9s %s%n", "site", "run", "recorded", "now", "change", "entry",
                "broken rules, failed days, processes ended by themselves");
        boolean fine = !entries.isEmpty();
        for (Entry entry : entries) {
            Recorded last = sites.stream().filter(site -> site.name().equals(entry.site())).findFirst()
                    .map(site -> site.recorded().get(entry.kind())).orElse(null);
            double change = last == null || entry.score() < 0 ? 0 : entry.score() - last.score();
            List<String> remarks = new ArrayList<>();
            if (entry.error() != null) {
                remarks.add("failed: " + entry.error().lines().findFirst().orElse(""));
            }
            for (Day day : entry.days()) {
                if (!day.broken().isEmpty()) {
                    remarks.add(day.name() + " broke " + day.broken());
                }
                if (day.fault() != null) {
                    remarks.add(day.name() + " failed: " + day.fault().lines().findFirst().orElse(""));
                }
            }
            // A process that ends by itself lowers the figure; alone it is no reason to refuse the run.
            fine &= remarks.isEmpty() && change >= -MOST_FALL;
            if (change < -MOST_FALL) {
                remarks.add("FALL");
            }
            long restarts = entry.days().stream().mapToLong(Day::restarts).sum();
            System.out.printf(Locale.ROOT, "%-26s %-6s %8s %8s %8s  %-9s %s%n", entry.site(), entry.kind(),
                    last == null ? "-" : String.format(Locale.ROOT, "%.3f", last.score()),
                    entry.score() < 0 ? "-" : String.format(Locale.ROOT, "%.3f", entry.score()),
                    last == null || entry.score() < 0 ? "-" : String.format(Locale.ROOT, "%+.3f", change), entry.id(),
                    (remarks.isEmpty() ? "none" : String.join("; ", remarks)) + ", " + restarts + " ended");
            for (Day day : entry.days()) {
                System.out.printf(Locale.ROOT, "    %-40s %.3f%n", day.name(), day.figure());
            }
        }
        return fine;
    }

    /** Makes scores of the journal the recorded figures, and says which. */
    private static boolean record(List<Site> sites, List<Entry> entries) throws Unable, IOException {
        for (Entry entry : entries) {
            Site site = sites.stream().filter(known -> known.name().equals(entry.site())).findFirst()
                    .orElseThrow(() -> new Unable("entry " + entry.id() + " is of no site of the set"));
            if (entry.score() < 0 || entry.error() != null
                    || entry.days().stream().anyMatch(day -> !day.broken().isEmpty() || day.fault() != null)) {
                throw new Unable("entry " + entry.id() + " is no score without broken rules and failed days");
            }
            site.recorded().put(entry.kind(), new Recorded(entry.score(), entry.id()));
            System.out.printf(Locale.ROOT, "%s, %s: %.4f of entry %s%n", site.name(), entry.kind(), entry.score(),
                    entry.id());
        }
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
                for (Map.Entry<String, Recorded> figure : site.recorded().entrySet()) {
                    out.writeObjectFieldStart(figure.getKey());
                    out.writeNumberField("score", figure.getValue().score());
                    out.writeStringField("entry", figure.getValue().entry());
                    out.writeEndObject();
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
            out.writeRaw('\n');
        }
        Files.move(fresh, FIGURES, StandardCopyOption.REPLACE_EXISTING);
        return true;
    }

    private static List<Site> readSites() throws Unable, IOException {
        try {
            List<Site> sites = new ArrayList<>();
            for (Fields in : Json.readObject(Files.readAllBytes(FIGURES)).objects("sites")) {
                Map<String, Recorded> recorded = new LinkedHashMap<>();
                for (String kind : List.of("quick", "full")) {
                    if (in.has(kind)) {
                        Fields figure = in.object(kind);
                        recorded.put(kind, new Recorded(figure.amount("score"), figure.text("entry")));
                    }
                }
                sites.add(new Site(in.text("name"), in.text("file"), in.flag("usual"), recorded));
            }
            return sites;
        } catch (MalformedMessage e) {
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
            List<Path> named = journal().stream().filter(path -> path.toString().endsWith("-" + id + ".json")).toList();
            if (named.size() != 1) {
                throw new Unable("the journal has " + named.size() + " entries " + id);
            }
            entries.add(read(named.get(0)));
        }
        return entries;
    }

    private static Entry read(Path path) throws Unable, IOException {
        try {
            Fields in = Json.readObject(Files.readAllBytes(path));
            List<Day> days = new ArrayList<>();
            for (Fields day : in.objects("days")) {
                String broken = day.has("rules") ? new String(day.object("rules").render()) : "{}";
                days.add(new Day(day.text("name", "?"), day.amount("score", day.amount("G", 0)),
                        broken.equals("{}") ? "" : broken, day.text("fault", null),
                        Math.round(day.amount("restarts", 0))));
            }
            return new Entry(in.text("id"), in.text("cmd"), in.texts("argv").contains("--quick"),
                    in.text("site", "-"), in.amount("score", -1),
                    in.flag("ok") ? null : in.text("error", "not finished"), days);
        } catch (MalformedMessage e) {
            throw new Unable(path + ": " + e.getMessage());
        }
    }
}
