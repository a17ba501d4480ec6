package madderrudder.coordination.policy;

import java.util.List;
import java.util.Map;

/**
 * What the platform says of the place this service runs in.
 *
 * @param zones the names of the zones
 * @param teams the teams by their names
 * @param workers the times that workers keep
 * @param state the limits of the key-value store
 * @param cloud the limits of the cloud's API
 * @param members the number of controllers, this one counted
 * @param clockOffMicros how far a clock's time of day may be off, in microseconds
 * @param objectives the service-level objectives of each class of jobs
 */
public record Deployment(
    List<String> zones,
    Map<String, TeamQuota> teams,
    WorkerTimes workers,
    StateLimits state,
    CloudLimits cloud,
    int members,
    long clockOffMicros,
    ServiceLevelObjectives objectives) {

  /**
   * The times that workers keep, in microseconds.
   *
   * @param reportMicros the period of heartbeats
   * @param leaseMicros how long a worker keeps its tasks after its last answered heartbeat
   * @param gangWaitMicros how long a gang's task waits for the gang to be complete
   * @param gangPeerMicros the time within which the other tasks of a gang notice that one has
   *     disappeared
   * @param cancelMicros the time within which a cancelled job's tasks must be gone
   */
  public record WorkerTimes(
      long reportMicros,
      long leaseMicros,
      long gangWaitMicros,
      long gangPeerMicros,
      long cancelMicros) {}

  /**
   * What the key-value store bears.
   *
   * @param requestsPerSecond requests a second of all controllers together
   * @param writesPerSecond writes a second of all controllers together
   * @param valueBytes the size of the largest value
   * @param transactionWrites the most writes in a transaction
   */
  public record StateLimits(
      double requestsPerSecond, double writesPerSecond, int valueBytes, int transactionWrites) {}

  /**
   * What the cloud's API bears.
   *
   * @param requestsPerSecond requests a second
   * @param listLagMicros how far its list of machines may lag behind, in microseconds
   */
  public record CloudLimits(double requestsPerSecond, long listLagMicros) {}
}
