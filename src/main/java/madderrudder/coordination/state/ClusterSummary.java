package madderrudder.coordination.state;

import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;

/** A line for the log that tells operators what each kind of machine is doing. */
public final class ClusterSummary {
  private int machines;
  private int booting;
  private int empty;
  private long usedMilliCpus;
  private long milliCpus;

  private ClusterSummary() {}

  public static String of(Cluster cluster) {
    Map<String, ClusterSummary> kinds = new TreeMap<>();
    for (Machine machine : cluster.machines.values()) {
      String kind =
          machine.type.name() + (machine.owned ? " owned" : machine.spot ? " spot" : " steady");
      kinds.computeIfAbsent(kind, k -> new ClusterSummary()).add(machine);
    }
    StringJoiner line = new StringJoiner(", ");
    kinds.forEach((kind, sum) -> line.add(kind + " " + sum));
    return line.toString();
  }

  private void add(Machine machine) {
    machines++;
    if (machine.booting()) {
      booting++;
    } else {
      empty += machine.empty() ? 1 : 0;
      usedMilliCpus += machine.used.milliCpus();
      milliCpus += machine.type.capacity().milliCpus();
    }
  }

  @Override
  public String toString() {
    return machines
        + " ("
        + booting
        + " booting, "
        + empty
        + " empty) "
        + usedMilliCpus / 1000
        + "/"
        + milliCpus / 1000;
  }
}
