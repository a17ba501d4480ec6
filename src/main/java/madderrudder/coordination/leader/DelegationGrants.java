package madderrudder.coordination.leader;

import java.util.List;
import java.util.Set;
import madderrudder.coordination.membership.TermAcknowledgements;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.coordination.registry.JobRegistry;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.LeaseRenewal;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * Grants other controllers the right to answer heartbeats on behalf of this leader, and records the
 * lease renewals that they report. Both determine when the lease of a silent machine has expired.
 * Confined to the event loop thread.
 */
final class DelegationGrants {
  private final LeaderTerm term;
  private final JobRegistry jobs;
  private final Set<String> otherMembers;
  private final TermAcknowledgements termAcknowledgements;

  DelegationGrants(LeaderTerm term, JobRegistry jobs, Set<String> otherMembers) {
    this.term = term;
    this.jobs = jobs;
    this.otherMembers = otherMembers;
    termAcknowledgements = new TermAcknowledgements(term.number, otherMembers);
  }

  /**
   * Returns for how long from now other controllers may answer workers on behalf of this leader,
   * without commands; 0 if they may not. The bound ensures that a worker that received the last
   * such answer still kills, within the time limit for cancellations, the tasks of jobs that were
   * cancelled in the meantime. Other controllers cannot determine which tasks of jobs that were
   * cancelled earlier may still run, so the time counts from before the cancellations of those jobs
   * were confirmed to their users.
   */
  long grantMicros() {
    if (!term.policy.delegationEnabled()) {
      return 0;
    }
    long cancellationsSettledMicros =
        term.cluster.cancellationsSettledMicros(jobs.knownUpToMicros());
    long knownUpToMicros = Math.min(cancellationsSettledMicros, term.election.leaseEndMicros());
    return Math.max(
        0,
        knownUpToMicros
            + term.safetyBounds.maxAnswerWithoutStoreMicros()
            - term.scheduler.nowMicros());
  }

  /**
   * Records a grant that is about to be sent to other controllers.
   *
   * @param processes the latest known processes of the other controllers
   * @param grantMicros the length of the grant
   * @return the processes that the grant may be sent to
   */
  List<StampEcho> recordGrant(List<StampEcho> processes, long grantMicros) {
    long untilMicros = term.scheduler.nowMicros() + grantMicros;
    return processes.stream()
        .filter(echo -> term.delegation.recordGrant(echo, untilMicros))
        .toList();
  }

  /** Records the lease renewals that another controller made on behalf of this leader. */
  void recordRenewals(DelegatedRenewals renewals) {
    long nowMicros = term.scheduler.nowMicros();
    for (LeaseRenewal renewal : renewals.renewals()) {
      Machine machine = term.cluster.machines.get(renewal.machine());
      if (machine != null) {
        long renewalAgeMicros = SafetyBounds.shortenByClockDrift(1000L * renewal.ageMillis());
        machine.lastLeaseRenewalMicros =
            Math.max(machine.lastLeaseRenewalMicros, nowMicros - renewalAgeMicros);
      }
    }
    term.delegation.recordRenewalsMessage(renewals);
  }

  /**
   * Records another controller's status; ignores an unknown controller.
   *
   * @param echo the last stamp that the controller received from this process, or null if none
   */
  void recordStatus(MembershipStatus status, StampEcho echo) {
    if (!otherMembers.contains(status.member())) {
      return;
    }
    long nowMicros = term.scheduler.nowMicros();
    term.delegation.recordStatus(status, echo, nowMicros);
    if (termAcknowledgements.recordStatus(status, echo, nowMicros)) {
      endLeaseExtensions();
    }
  }

  /**
   * Extends the assumed lease of a machine that an earlier leader used, unless all other
   * controllers have acknowledged this term. Until then, the earlier leader may continue to answer
   * the worker for a bounded time.
   */
  void extendLeaseForEarlierLeader(Machine machine) {
    if (!termAcknowledgements.isComplete()) {
      machine.lastLeaseRenewalMicros += term.safetyBounds.maxAnswerWithoutStoreMicros();
    }
  }

  /**
   * Removes the lease extensions for earlier leaders, because no lease can be renewed under an
   * earlier term any more. The lease of a machine that has not reported then counts from now at the
   * latest.
   */
  private void endLeaseExtensions() {
    long nowMicros = term.scheduler.nowMicros();
    for (Machine machine : term.cluster.machines.values()) {
      if (!machine.reported) {
        machine.lastLeaseRenewalMicros = Math.min(machine.lastLeaseRenewalMicros, nowMicros);
      }
    }
  }
}
