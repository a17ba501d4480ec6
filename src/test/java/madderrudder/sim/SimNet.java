package madderrudder.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;

/**
 * A network between named hosts: delay, lost connections, and cuts that hold what was sent and
 * deliver it when they end, even though the sender has given up.
 */
final class SimNet {
  private static final long LATENCY_MICROS = 800;

  private final Sim sim;
  private final double loss;
  private final Map<String, Served> served = new HashMap<>();
  private final Map<String, Cut> cuts = new HashMap<>();

  /** Where hosts stand; store, cloud and users are of the region, and stand in no zone. */
  private final Map<String, String> zones = new HashMap<>();

  /** Hosts that send, and that nothing reaches. */
  private final Set<String> deaf = new HashSet<>();

  /** Machines that can open no connection to any controller, while direct commands reach them. */
  private final Set<String> mute = new HashSet<>();

  /** Copies of reports that wait for the next leader. */
  private final List<Consumer<String>> kept = new ArrayList<>();

  private double keptShare;
  private int slowness = 1;
  private long copiesUntilMicros;
  private long copiesLateMicros;
  private long reportsUntilMicros;
  private long reportsLateMicros;
  private double reportsShare;

  /** Copies of reports that have come at least two seconds late. */
  int lateReports;

  /** What answers at an address, and on which host. */
  private record Served(String host, HttpHandler exchange) {}

  /** A cut between two hosts; what it holds goes on when it ends. */
  private static final class Cut {
    final boolean hold;
    final List<Runnable> held = new ArrayList<>();

    Cut(boolean hold) {
      this.hold = hold;
    }
  }

  SimNet(Sim sim, double loss) {
    this.sim = sim;
    this.loss = loss;
  }

  void serve(String address, String host, HttpHandler exchange) {
    served.put(address, new Served(host, exchange));
  }

  void silence(String address) {
    served.remove(address);
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  void place(String host, String zone) {
    zones.put(host, zone);
  }

  void cut(String a, String b, boolean hold, long forMicros) {
    cut(pair(a, b), hold, forMicros);
  }

  /** Cuts a zone off from everything else; what is in it, now or later, goes on talking inside. */
  void cutZone(String zone, boolean hold, long forMicros) {
    cut(zone, hold, forMicros);
  }

  /** What the host sends arrives, and no answer and no message reaches it. */
  void deafen(String host, long forMicros) {
    if (deaf.add(host)) {
      sim.after(forMicros, () -> deaf.remove(host));
    }
  }

  /** All links take so many times as long. */
  void slow(int factor, long forMicros) {
    slowness = factor;
    sim.after(forMicros, () -> slowness = 1);
  }

  /**
   * The machine reaches no controller, while direct commands reach it, and its answers to them come
   * back.
   */
  void mute(String machine, long forMicros) {
    if (mute.add(machine)) {
      sim.after(forMicros, () -> mute.remove(machine));
    }
  }

  /** Of this share of reports a copy is kept until {@link #deliverKept}. */
  void keepReports(double share, long forMicros) {
    keptShare = share;
    sim.after(forMicros, () -> keptShare = 0);
  }

  /** The copies kept arrive at the address, if a controller is there. */
  int deliverKept(String address) {
    List.copyOf(kept).forEach(copy -> copy.accept(address));
    return served.containsKey(address) ? kept.size() : 0;
  }

  void dropKept() {
    kept.clear();
  }

  /**
   * Of some messages another copy comes, or several, each up to so long after the first: of a
   * report to any controller, of everything else to whom it was sent. Nobody waits for what a copy
   * is answered.
   */
  void copies(long forMicros, long lateMicros) {
    copiesUntilMicros = Math.max(copiesUntilMicros, sim.nowMicros + forMicros);
    copiesLateMicros = lateMicros;
  }

  /**
   * Of this share of reports a copy comes, to any controller, from two seconds to so long later.
   */
  void lateReports(double share, long forMicros, long lateMicros) {
    reportsShare = share;
    reportsUntilMicros = sim.nowMicros + forMicros;
    reportsLateMicros = lateMicros;
  }

  private void lateCopy(String from, HttpRequest report) {
    if (sim.nowMicros < reportsUntilMicros && sim.chance(reportsShare)) {
      sim.after(
          2 * World.SECOND + sim.random.nextLong(reportsLateMicros),
          () -> {
            lateReports++;
            deliver(from, someController(), report, response -> {});
          });
    }
  }

  private void copy(Runnable message) {
    while (sim.nowMicros < copiesUntilMicros && sim.chance(0.3)) {
      sim.after(sim.random.nextLong(copiesLateMicros), message);
    }
  }

  private void cut(String what, boolean hold, long forMicros) {
    Cut cut = new Cut(hold);
    if (cuts.putIfAbsent(what, cut) == null) {
      sim.after(
          forMicros,
          () -> {
            cuts.remove(what);
            cut.held.forEach(message -> sim.after(LATENCY_MICROS, message));
          });
    }
  }

  private Cut cutBetween(String from, String to) {
    Cut cut = cuts.get(pair(from, to));
    String one = zones.get(from);
    String other = zones.get(to);
    if (cut != null || Objects.equals(one, other)) {
      return cut;
    }
    return cuts.containsKey(one) ? cuts.get(one) : cuts.get(other);
  }

  /** Carries one message, unless it is lost or held. */
  private void carry(String from, String to, Runnable message) {
    Cut cut = cutBetween(from, to);
    if (cut != null) {
      if (cut.hold) {
        cut.held.add(message);
      }
      return;
    }
    if (!deaf.contains(to) && !sim.chance(loss)) {
      sim.after(slowness * (LATENCY_MICROS / 2 + sim.random.nextLong(LATENCY_MICROS)), message);
    }
  }

  /** How a host calls others. */
  HttpCaller callsFrom(String from, Scheduler clock) {
    return (address, request, timeoutMicros, answer) -> {
      boolean[] settled = new boolean[1];
      Consumer<HttpResponse> once =
          response -> {
            if (!settled[0]) {
              settled[0] = true;
              answer.accept(response);
            }
          };
      Served target = served.get(address);
      if (target == null) {
        clock.after(
            sim.chance(0.5) ? LATENCY_MICROS : timeoutMicros,
            () -> once.accept(HttpResponse.notSent()));
        return;
      }
      if (mute.contains(from)) {
        clock.after(timeoutMicros, () -> once.accept(HttpResponse.notSent()));
        return;
      }
      clock.after(timeoutMicros, () -> once.accept(HttpResponse.noResponse()));
      carry(
          from,
          target.host(),
          () ->
              deliver(
                  from, address, request, response -> clock.execute(() -> once.accept(response))));
      if (request.path().equals("/hello")) {
        lateCopy(from, request);
        if (keptShare > 0 && sim.chance(keptShare)) {
          kept.add(to -> deliver(from, to, request, response -> {}));
        }
      }
      copy(
          () ->
              deliver(
                  from,
                  request.path().equals("/hello") ? someController() : address,
                  request,
                  response -> {}));
    };
  }

  private String someController() {
    List<String> controllers =
        served.keySet().stream().filter(address -> address.startsWith("10.0.")).sorted().toList();
    return controllers.isEmpty() ? "" : controllers.get(sim.random.nextInt(controllers.size()));
  }

  private void deliver(
      String from, String address, HttpRequest request, Consumer<HttpResponse> back) {
    Served target = served.get(address);
    if (target != null) {
      target
          .exchange()
          .handle(request, response -> carry(target.host(), from, () -> back.accept(response)));
    }
  }

  void frame(String from, String to, Runnable receive) {
    carry(from, to, receive);
    copy(receive);
  }
}
