package madderrudder.coordination.membership;

import java.util.HashMap;
import java.util.Map;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * What a leader knows of the controllers that may answer workers in its stead: until when each may,
 * and up to which moment it has told of all its answers. From that follows when a silent machine's
 * worker has surely dropped everything.
 */
public final class DelegationTracker {
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final SafetyBounds safety;
  private final long beginMicros;
  private final Map<String, Member> members = new HashMap<>();

  /** One controller; the times are of the leader's clock. */
  private static final class Member {
    long incarnation;
    long firstMicros;

    /** Up to this moment all its answers are known. */
    long toldMicros = NEVER;

    /** It may answer until this moment. */
    long grantedMicros = NEVER;

    /** Earlier processes of its name may have answered until this moment. */
    long formerMicros = NEVER;

    long partsStampMicros;
    int parts;
  }

  /** The leader's term begins at the moment given. */
  public DelegationTracker(SafetyBounds safety, long beginMicros) {
    this.safety = safety;
    this.beginMicros = beginMicros;
  }

  /**
   * The process that was heard may answer until then, if it hears of it; false if it may be none
   * that lives.
   */
  public boolean grant(StampEcho to, long untilMicros) {
    Member member = members.get(to.member());
    if (member == null || member.incarnation != to.incarnation()) {
      return false;
    }
    member.grantedMicros = Math.max(member.grantedMicros, untilMicros);
    return true;
  }

  /** A part of what a controller has answered; the answers themselves are the caller's to note. */
  public void heard(DelegatedRenewals part) {
    Member member = members.get(part.member());
    if (member == null || member.incarnation != part.incarnation()) {
      return;
    }
    member.parts = member.partsStampMicros == part.stampMicros() ? member.parts + 1 : 1;
    member.partsStampMicros = part.stampMicros();
  }

  /** A controller's word, with what it has heard of this leader's process, or null. */
  public void heard(MembershipStatus standing, StampEcho mine, long nowMicros) {
    Member member = members.get(standing.member());
    if (member == null) {
      member = new Member();
      member.incarnation = standing.incarnation();
      member.firstMicros = nowMicros;
      members.put(standing.member(), member);
    } else if (member.incarnation != standing.incarnation()
        && !succeeds(member, standing, mine, nowMicros)) {
      return;
    }
    boolean complete =
        standing.answeredParts() == 0
            || (member.partsStampMicros == standing.stampMicros()
                && member.parts == standing.answeredParts());
    if (mine != null && complete) {
      // What it has heard of this term's leader keeps it from answering in its stead for a while
      // more.
      long leaderSilenceMicros =
          mine.stampMicros() >= beginMicros
              ? SafetyBounds.minusClockDrift(safety.leaderSilenceMicros())
              : 0;
      member.toldMicros = Math.max(member.toldMicros, mine.stampMicros() + leaderSilenceMicros);
    }
  }

  /**
   * One process at a time has the name. A process that has heard what was sent after another of the
   * name was first heard lived later than that one, which so has ended, before this one began;
   * otherwise it may be the earlier one, late on its way.
   */
  private static boolean succeeds(
      Member member, MembershipStatus standing, StampEcho mine, long nowMicros) {
    if (mine == null || mine.stampMicros() < member.firstMicros) {
      return false;
    }
    long bornMicros = nowMicros - SafetyBounds.minusClockDrift(standing.ageMicros());
    long lastMicros = Math.min(member.grantedMicros, bornMicros);
    if (lastMicros > member.toldMicros) {
      member.formerMicros = Math.max(member.formerMicros, lastMicros);
    }
    member.incarnation = standing.incarnation();
    member.firstMicros = nowMicros;
    member.toldMicros = NEVER;
    member.grantedMicros = NEVER;
    member.parts = 0;
    return true;
  }

  /**
   * Whether a worker has surely dropped everything, given when it was last known to be answered. A
   * controller that has not told of all its answers up to the end of the worker's lease may have
   * prolonged it for as long as it may answer; the others then have to have told of theirs up to
   * that later end.
   */
  public boolean dropped(long answeredMicros, long nowMicros) {
    long end = answeredMicros + safety.leaseMicros();
    for (Member member : members.values()) {
      end = Math.max(end, member.formerMicros + safety.leaseMicros());
    }
    for (boolean later = nowMicros > end; later; ) {
      later = false;
      for (Member member : members.values()) {
        if (member.toldMicros < end && member.grantedMicros + safety.leaseMicros() > end) {
          end = member.grantedMicros + safety.leaseMicros();
          later = true;
        }
      }
    }
    return nowMicros > end;
  }
}
