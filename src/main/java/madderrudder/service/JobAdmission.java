package madderrudder.service;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;

/** Tells jobs that can never run from those that can. */
final class JobAdmission {
  private JobAdmission() {}

  /** Why the job can never run; empty if it can. */
  static Optional<RejectionReason> rejection(
      JobSpec job, Map<String, TeamQuota> teams, Collection<MachineType> types) {
    TeamQuota team = teams.get(job.team());
    if (team == null) {
      return Optional.of(RejectionReason.UNKNOWN_TEAM);
    }
    if (types.stream().noneMatch(type -> canRunTaskOn(job, type))) {
      return Optional.of(RejectionReason.NO_MACHINE_TYPE);
    }
    if (!team.allows(neededAtOnce(job))) {
      return Optional.of(RejectionReason.OVER_TEAM_LIMIT);
    }
    return Optional.empty();
  }

  private static boolean canRunTaskOn(JobSpec job, MachineType type) {
    return (job.types() == null || job.types().contains(type.name()))
        && (job.zone() == null || type.zones().contains(job.zone()))
        && job.perTask().fits(type.capacity());
  }

  /** An array's tasks may run one after the other; those of other jobs run together. */
  private static Resources neededAtOnce(JobSpec job) {
    return job.kind() == JobKind.ARRAY ? job.perTask() : job.perTask().times(job.tasks());
  }
}
