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
 * What other controllers may answer in this leader's stead, and what they have answered: both
 * decide when a silent machine's lease is over. Confined to the event loop thread.
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
   * For how long other controllers may answer workers in this leader's stead, with no command; 0
   * for not at all. The bound is that a worker which got their last answer still drops in time
   * whatever may have been cancelled since. Other controllers know nothing of tasks of jobs that
   * were cancelled earlier and may still be somewhere, so that the time counts from before the
   * users of those jobs were told.
   */
  long grantMicros() {
    if (!term.policy.delegation()) {
      return 0;
    }
    long cancellationsSettledMicros =
        term.cluster.cancellationsSettledMicros(jobs.knownUpToMicros());
    long fromMicros = Math.min(cancellationsSettledMicros, term.election.leaseEndMicros());
    return Math.max(0, fromMicros + term.safety.answerMicros() - term.scheduler.nowMicros());
  }

  /** Records the grant, and returns those of the processes heard from that it may go out to. */
  List<StampEcho> grant(List<StampEcho> heard, long grantMicros) {
    long untilMicros = term.scheduler.nowMicros() + grantMicros;
    return heard.stream().filter(echo -> term.delegation.grant(echo, untilMicros)).toList();
  }

  /** Another controller has answered machines. */
  void onRenewals(DelegatedRenewals renewals) {
    long nowMicros = term.scheduler.nowMicros();
    for (LeaseRenewal renewal : renewals.answers()) {
      Machine machine = term.cluster.machines.get(renewal.machine());
      if (machine != null) {
        long agoMicros = SafetyBounds.minusClockDrift(1000L * renewal.agoMillis());
        machine.lastAnsweredMicros = Math.max(machine.lastAnsweredMicros, nowMicros - agoMicros);
      }
    }
    term.delegation.recordRenewals(renewals);
  }

  /** Another controller's status, with what it has heard of this process, or null. */
  void onStatus(MembershipStatus status, StampEcho mine) {
    if (!otherMembers.contains(status.member())) {
      return;
    }
    long nowMicros = term.scheduler.nowMicros();
    term.delegation.recordStatus(status, mine, nowMicros);
    if (termAcknowledgements.record(status, mine, nowMicros)) {
      endEarlierTerms();
    }
  }

  /**
   * A machine that an earlier leader used may still be answered by that leader for a while, and its
   * worker's lease begins only after that.
   */
  void allowForEarlierLeader(Machine machine) {
    if (!termAcknowledgements.complete()) {
      machine.lastAnsweredMicros += term.safety.answerMicros();
    }
  }

  /**
   * No machine's lease can be renewed under an earlier term any more: the lease of one that has
   * died expires a lease from now, without the time an earlier leader might have gone on.
   */
  private void endEarlierTerms() {
    long nowMicros = term.scheduler.nowMicros();
    for (Machine machine : term.cluster.machines.values()) {
      if (!machine.reported) {
        machine.lastAnsweredMicros = Math.min(machine.lastAnsweredMicros, nowMicros);
      }
    }
  }
}
