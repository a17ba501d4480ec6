package madderrudder.coordination.state;

import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import madderrudder.protocol.Resources;

/**
 * Counts the machines of one type and kind, which is owned, spot or on-demand, for the log and for
 * {@code GET /metrics}. The text there calls on-demand machines "steady".
 */
public final class ClusterSummary {
  private int machines;
  private int booting;
  private int empty;
  private long usedNanoCpus;
  private long nanoCpus;

  private ClusterSummary() {}

  /**
   * Returns one line with the machines of each type and kind: the total, how many are booting and
   * how many empty, and the CPUs in use out of all CPUs of those that have booted.
   */
  public static String of(Cluster cluster) {
    Map<String, ClusterSummary> summaries = new TreeMap<>();
    for (Machine machine : cluster.machines.values()) {
      String kind = machine.type.name() + " " + ownership(machine);
      summaries.computeIfAbsent(kind, k -> new ClusterSummary()).add(machine);
    }
    StringJoiner line = new StringJoiner(", ");
    summaries.forEach((kind, summary) -> line.add(kind + " " + summary));
    return line.toString();
  }

  private static String ownership(Machine machine) {
    if (machine.owned) {
      return "owned";
    }
    return machine.spot ? "spot" : "steady";
  }

  private void add(Machine machine) {
    machines++;
    if (machine.booting()) {
      booting++;
      return;
    }
    empty += machine.empty() ? 1 : 0;
    usedNanoCpus += machine.used.nanoCpus();
    nanoCpus += machine.type.capacity().nanoCpus();
  }

  @Override
  public String toString() {
    return machines
        + " ("
        + booting
        + " booting, "
        + empty
        + " empty) "
        + usedNanoCpus / Resources.NANOS_PER_UNIT
        + "/"
        + nanoCpus / Resources.NANOS_PER_UNIT;
  }
}
