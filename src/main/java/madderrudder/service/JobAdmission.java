package madderrudder.service;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;

/** Decides at submission whether a job can ever run. */
final class JobAdmission {
  private JobAdmission() {}

  /**
   * The reason why the job can never run; empty if it can.
   *
   * @param quotas the quota of each team by the team's name
   * @param machineTypes the machine types that the cloud offers
   */
  static Optional<RejectionReason> rejectionReason(
      JobSpec job, Map<String, TeamQuota> quotas, Collection<MachineType> machineTypes) {
    TeamQuota quota = quotas.get(job.team());
    if (quota == null) {
      return Optional.of(RejectionReason.UNKNOWN_TEAM);
    }
    if (machineTypes.stream().noneMatch(type -> canRunTaskOn(job, type))) {
      return Optional.of(RejectionReason.NO_MACHINE_TYPE);
    }
    if (!quota.allows(concurrentResources(job))) {
      return Optional.of(RejectionReason.OVER_TEAM_LIMIT);
    }
    return Optional.empty();
  }

  private static boolean canRunTaskOn(JobSpec job, MachineType type) {
    return (job.machineTypes() == null || job.machineTypes().contains(type.name()))
        && (job.zone() == null || type.zones().contains(job.zone()))
        && job.resourcesPerTask().fits(type.capacity());
  }

  /** The resources of one task for an array, whose tasks may run in sequence, else of all tasks. */
  private static Resources concurrentResources(JobSpec job) {
    return job.kind() == JobKind.ARRAY
        ? job.resourcesPerTask()
        : job.resourcesPerTask().times(job.tasks());
  }
}
