package madderrudder.coordination.policy;

import java.util.List;
import java.util.Map;

/** What the platform says of the place this service runs in. */
public record Deployment(
    List<String> zones,
    Map<String, TeamQuota> teams,
    WorkerTimes workers,
    StateLimits state,
    CloudLimits cloud,
    int members,
    long clockOffMicros,
    ServiceLevelObjectives objectives) {

  /** How workers keep time. */
  public record WorkerTimes(
      long reportMicros,
      long leaseMicros,
      long gangWaitMicros,
      long gangPeerMicros,
      long cancelMicros) {}

  /** What the state service bears. */
  public record StateLimits(
      double requestsPerSecond, double writesPerSecond, int valueBytes, int transactionWrites) {}

  /** What the cloud bears, and how far its list lags. */
  public record CloudLimits(double requestsPerSecond, long listLagMicros) {}
}
