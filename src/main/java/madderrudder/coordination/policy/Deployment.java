package madderrudder.coordination.policy;

import java.util.List;
import java.util.Map;

/**
 * The platform's description of the deployment in which this service runs.
 *
 * @param zones the names of the zones
 * @param teams the quotas of the teams, by team name
 * @param workers the intervals and timeouts of workers
 * @param state the limits of the key-value store
 * @param cloud the limits of the cloud's API
 * @param controllerCount the number of controllers, including this one
 * @param maxClockErrorMicros the largest error of a clock's time of day, in microseconds
 * @param objectives the service-level objectives of each class of jobs
 */
public record Deployment(
    List<String> zones,
    Map<String, TeamQuota> teams,
    WorkerTimes workers,
    StateLimits state,
    CloudLimits cloud,
    int controllerCount,
    long maxClockErrorMicros,
    ServiceLevelObjectives objectives) {

  /**
   * The intervals and timeouts of workers, in microseconds.
   *
   * @param heartbeatIntervalMicros the interval between heartbeats
   * @param leaseMicros how long a worker keeps its tasks after its last answered heartbeat
   * @param gangAssemblyTimeoutMicros how long a task of a gang waits until all tasks of the gang
   *     are present
   * @param gangLossDetectionMicros the time within which the other tasks of a gang detect the loss
   *     of one task
   * @param cancelDeadlineMicros the time within which all tasks of a cancelled job must have ended
   */
  public record WorkerTimes(
      long heartbeatIntervalMicros,
      long leaseMicros,
      long gangAssemblyTimeoutMicros,
      long gangLossDetectionMicros,
      long cancelDeadlineMicros) {}

  /**
   * The limits of the key-value store.
   *
   * @param requestsPerSecond the request rate that all controllers share
   * @param writesPerSecond the write rate that all controllers share
   * @param valueBytes the maximum size of a value, in bytes
   * @param transactionWrites the maximum number of writes in a transaction
   */
  public record StateLimits(
      double requestsPerSecond, double writesPerSecond, int valueBytes, int transactionWrites) {}

  /**
   * The limits of the cloud's API.
   *
   * @param requestsPerSecond the request rate above which the cloud refuses requests
   * @param listLagMicros the maximum staleness of its machine list, in microseconds
   */
  public record CloudLimits(double requestsPerSecond, long listLagMicros) {}
}
