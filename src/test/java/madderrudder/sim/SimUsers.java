package madderrudder.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.Fields;
import madderrudder.protocol.JobCodec;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Json;
import madderrudder.protocol.Kind;
import madderrudder.protocol.MalformedMessage;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.transport.HttpCalls;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/** Users who submit, repeat, poll, cancel, and ask about jobs that nobody submitted, each time of any node. */
final class SimUsers {
    private static final long POLL_MICROS = 3_000_000;
    private static final long RETRY_MICROS = 1_200_000;
    private static final long ASK_ALL_MICROS = 10_000_000;
    static final String GUEST = "duende";
    /** What the users call each kind of their jobs. */
    static final Map<Kind, String> CLASSES = Map.of(Kind.SERVICE, "desk", Kind.GANG, "train", Kind.ARRAY, "sweep");

    private final Sim sim;
    private final Rules rules;
    private final Deployment deployment;
    private final HttpCalls calls;
    private final Sim.Host clock;
    private final List<String> nodes;
    private final int mostTasks;
    final List<String> submitted = new ArrayList<>();
    private boolean cancelAll;
    private boolean visitors;
    private long pollMicros = POLL_MICROS;
    private int count;

    SimUsers(Sim sim, SimNet net, Rules rules, Deployment deployment, Map<String, String> nodes,
            int mostTasks) {
        this.mostTasks = mostTasks;
        this.sim = sim;
        this.rules = rules;
        this.deployment = deployment;
        this.nodes = List.copyOf(nodes.values());
        clock = sim.new Host(1, 0);
        calls = net.callsFrom("users", clock);
    }

    void begin(long everyMicros, long untilMicros) {
        clock.after(sim.random.nextLong(2 * everyMicros), () -> {
            if (sim.nowMicros < untilMicros) {
                JobSpec job = randomJob();
                rules.submits(job);
                if (visitors && sim.chance(0.06)) {
                    rules.mistaken.add(job.id());
                    clock.after(30_000_000 + sim.random.nextLong(90_000_000), () -> withdraw(job.id()));
                }
                submitted.add(job.id());
                submit(job);
                // Services would fill each team's limit in time, so that nothing more of them could be served.
                if (job.kind() == Kind.SERVICE || sim.chance(0.3)) {
                    clock.after(sim.random.nextLong(job.kind() == Kind.SERVICE ? 120_000_000 : 60_000_000),
                            () -> withdraw(job.id()));
                }
                if (sim.chance(0.2)) {
                    ask("req-" + (900_000 + count));
                }
                begin(everyMicros, untilMicros);
            }
        });
    }

    /** From now on everything that is not over gets cancelled, services above all. */
    void cancelEverything() {
        cancelAll = true;
        submitted.stream().filter(job -> !rules.finished(job)).forEach(this::withdraw);
    }

    /** So many of the jobs that have tasks somewhere are cancelled, those that would run on first. */
    void cancelSome(int most) {
        submitted.stream().filter(job -> rules.isLive(job) && rules.held().stream().anyMatch(task -> task.job().equals(job)))
                .sorted(Comparator.comparing(job -> rules.spec(job).kind() != Kind.SERVICE)).limit(most).toList()
                .forEach(this::withdraw);
    }

    /** From now on a team without a guarantee has jobs too, and some jobs have a mistake in them. */
    void visitors() {
        visitors = true;
    }

    /** Everybody asks so many times as often for a while. */
    void askOften(int factor, long forMicros) {
        pollMicros = POLL_MICROS / factor;
        clock.after(forMicros, () -> pollMicros = POLL_MICROS);
    }

    /** From now on all jobs are asked about, again and again, also those that are over. */
    void askAboutAll() {
        submitted.forEach(this::ask);
        clock.after(ASK_ALL_MICROS, this::askAboutAll);
    }

    /** One more job, of the users' own making. */
    void bring(JobSpec job) {
        rules.submits(job);
        submitted.add(job.id());
        submit(job);
    }

    private JobSpec randomJob() {
        Kind kind = switch (sim.random.nextInt(10)) {
            case 0, 1, 2 -> Kind.SERVICE;
            case 3, 4 -> Kind.GANG;
            default -> Kind.ARRAY;
        };
        List<String> teams = deployment.teams().keySet().stream().filter(team -> visitors || !team.equals(GUEST)).toList();
        Priority priority = kind == Kind.SERVICE ? Priority.PRODUCTION
                : Priority.values()[1 + sim.random.nextInt(3)];
        // A gang's task may take all of a small machine.
        double cpus = kind == Kind.GANG ? 4 : 1 + sim.random.nextInt(4);
        return new JobSpec(String.format("req-%06d", count++), CLASSES.get(kind), teams.get(sim.random.nextInt(teams.size())),
                kind, priority, 1 + sim.random.nextInt(kind == Kind.SERVICE ? 4 : kind == Kind.GANG ? 3 : mostTasks),
                Resources.of(cpus, 0, cpus * 2), "img-" + sim.random.nextInt(4), 1.0, null,
                sim.chance(0.1) ? deployment.zones().get(0) : null, kind == Kind.GANG && sim.chance(0.3),
                kind == Kind.SERVICE, kind != Kind.SERVICE && sim.chance(0.6), 8_000_000, 0, 0, 0);
    }

    private void call(HttpRequest request, long timeoutMicros, java.util.function.Consumer<HttpResponse> answer) {
        calls.call(nodes.get(sim.random.nextInt(nodes.size())), request, timeoutMicros, answer);
    }

    private void submit(JobSpec job) {
        byte[] body = Json.object(out -> JobCodec.write(out, job));
        long askedMicros = sim.nowMicros;
        call(HttpRequest.post("/v1/jobs", body), 5_000_000, response -> {
            rules.told(job.id(), response.status(), state(response), true, askedMicros);
            if (response.status() == 200 || response.status() == 201) {
                if (sim.chance(0.2)) {
                    clock.after(sim.random.nextLong(90_000_000), () -> submit(job));
                } else {
                    poll(job.id());
                }
            } else {
                clock.after(RETRY_MICROS, () -> submit(job));
            }
        });
    }

    private void poll(String job) {
        ask(job);
        // Goes on for a while after the end, since the end must stay what it was.
        if (!rules.finished(job) || sim.chance(0.7)) {
            clock.after(pollMicros, () -> poll(job));
        }
    }

    private void ask(String job) {
        long askedMicros = sim.nowMicros;
        call(HttpRequest.get("/v1/jobs/" + job), 2_000_000,
                response -> rules.told(job, response.status(), state(response), false, askedMicros));
    }

    private void withdraw(String job) {
        rules.asksToCancel(job);
        long askedMicros = sim.nowMicros;
        call(HttpRequest.post("/v1/jobs/" + job + "/withdraw", new byte[0]), 5_000_000, response -> {
            // Before its submission got through, a job is rightly unknown.
            if (response.status() == 200) {
                rules.told(job, 200, state(response), false, askedMicros);
            } else if (response.status() != 404 || cancelAll) {
                clock.after(RETRY_MICROS, () -> withdraw(job));
            }
        });
    }

    private static String state(HttpResponse response) {
        try {
            Fields in = response.status() == 200 || response.status() == 201 ? Json.readObject(response.body()) : null;
            return in == null ? "" : in.text("trim");
        } catch (MalformedMessage e) {
            throw new AssertionError("a user got nonsense", e);
        }
    }
}
