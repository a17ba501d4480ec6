package madderrudder.service;

import java.util.Collection;
import java.util.Map;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;

/** Tells jobs that can never run from those that can. */
final class JobAdmission {
  private JobAdmission() {}

  /** Why the job can never run, or null if it can. */
  static String impossible(
      JobSpec job, Map<String, TeamQuota> teams, Collection<MachineType> types) {
    TeamQuota team = teams.get(job.team());
    if (team == null) {
      return "unknown team";
    }
    boolean fits = false;
    for (MachineType type : types) {
      fits |=
          (job.types() == null || job.types().contains(type.name()))
              && (job.zone() == null || type.zones().contains(job.zone()))
              && job.perTask().fits(type.capacity());
    }
    if (!fits) {
      return "a task fits no allowed machine type";
    }
    Resources atOnce =
        job.kind() == JobKind.ARRAY ? job.perTask() : job.perTask().times(job.tasks());
    if (!team.allows(atOnce)) {
      return "more than the team's limit";
    }
    return null;
  }
}
