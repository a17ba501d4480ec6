package madderrudder.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.PeerMessage;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.LeaseRenewal;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.Scheduler;

/**
 * Answers workers in the stead of a leader that can't be reached, so that their leases last, and
 * never with a command. A leader grants that for a while, counted on this controller's clock from
 * the sending of what the grant answers: a grant that was held on its way is worth no more for it.
 * See docs/deputies.md.
 */
public final class HeartbeatDelegate {
  /** Five pulses: a leader not heard for so long may be gone, or this controller cut off. */
  private static final long HEARD_MICROS = 2_000_000;

  /** Leases that began longer ago have surely ended, and need not be told of. */
  private static final long TELL_SLACK_MICROS = 2_000_000;

  private static final int PART_BYTES = PeerMessageCodec.MAX_BYTES / 2;

  /**
   * Of an answer in a frame, beside the machine's name, whose letters may take three bytes each.
   */
  private static final int ANSWER_BYTES = 6;

  private final Scheduler scheduler;
  private final SafetyBounds safety;
  private final String member;
  private final long incarnation;
  private final long bornMicros;
  private final Map<String, Heard> heard = new HashMap<>();

  /**
   * When each machine was last answered, and to which report; the one answered longest ago comes
   * first.
   */
  private final Map<String, Given> answered = new LinkedHashMap<>();

  private long term;
  private String granter;
  private long endMicros;
  private long harmlessUntilMicros = Long.MIN_VALUE / 4;

  /** An answer that was given, and the report that it was given to. */
  private record Given(long atMicros, long session, long seq) {}

  /** What was last heard of a peer, and when on this controller's clock. */
  private record Heard(long incarnation, long stampMicros, long atMicros) {}

  /** {@code incarnation} tells this process from others of the same name. */
  public HeartbeatDelegate(
      Scheduler scheduler, SafetyBounds safety, String member, long incarnation) {
    this.scheduler = scheduler;
    this.safety = safety;
    this.member = member;
    this.incarnation = incarnation;
    bornMicros = scheduler.nowMicros();
  }

  /** A peer's word; if it leads in the highest term known, its grant counts from now on. */
  public void take(MembershipStatus standing, long highestTerm) {
    heard.put(
        standing.member(),
        new Heard(standing.incarnation(), standing.stampMicros(), scheduler.nowMicros()));
    StampEcho mine = echo(standing);
    if (mine == null || standing.term() != highestTerm || standing.grantMicros() <= 0) {
      return;
    }
    long end = mine.stampMicros() + SafetyBounds.minusClockDrift(standing.grantMicros());
    endMicros = standing.term() == term ? Math.max(endMicros, end) : end;
    harmlessUntil(end);
    term = standing.term();
    granter = standing.member();
  }

  /** What the peer has heard of this very process, or null. */
  public StampEcho echo(MembershipStatus standing) {
    for (StampEcho echo : standing.echoes()) {
      if (echo.member().equals(member) && echo.incarnation() == incarnation) {
        return echo;
      }
    }
    return null;
  }

  /** Whether the peer has been heard within the last pulses. */
  public boolean hears(String peer) {
    Heard last = heard.get(peer);
    return last != null && scheduler.nowMicros() - last.atMicros() < HEARD_MICROS;
  }

  /**
   * Whether workers may be answered under the term's token: no higher one is known, the grant
   * lasts, and nothing was heard for a while of the leader that gave it.
   */
  public boolean mayAnswer(long highestTerm) {
    long now = scheduler.nowMicros();
    return term > 0
        && term == highestTerm
        && now < endMicros
        && now - heard.get(granter).atMicros() > safety.leaderSilenceMicros();
  }

  /**
   * Any grant, also one that this process has given as the leader, says until when an answer
   * without commands is harmless.
   */
  public void harmlessUntil(long micros) {
    harmlessUntilMicros = Math.max(harmlessUntilMicros, micros);
  }

  /**
   * Up to this moment an answer without commands keeps no cancelled task for too long, whoever
   * gives it and in whatever term: of the jobs that were cancelled before the news that the grant
   * counts from, nothing was anywhere any more, and a lease that such an answer begins is over in
   * time for those cancelled since.
   */
  public long harmlessUntilMicros() {
    return harmlessUntilMicros;
  }

  /** The token to answer with. */
  public long term() {
    return term;
  }

  /**
   * The worker gets an answer at this moment; false if it has gone on since it sent the report,
   * which is a late copy.
   */
  public boolean answers(Heartbeat report) {
    Given last = answered.get(report.machine());
    if (last != null && !report.newerThan(last.session(), last.seq())) {
      return false;
    }
    answered.remove(report.machine());
    answered.put(
        report.machine(), new Given(scheduler.nowMicros(), report.session(), report.seq()));
    return true;
  }

  /**
   * What peers are to be told: how this process stands, and before it, which machines it has
   * answered within the time that a lease lasts.
   */
  public List<PeerMessage> frames(long highestTerm, long grantMicros, List<StampEcho> echoes) {
    long now = scheduler.nowMicros();
    List<PeerMessage> frames = new ArrayList<>();
    List<LeaseRenewal> part = new ArrayList<>();
    int bytes = 0;
    for (Iterator<Map.Entry<String, Given>> all = answered.entrySet().iterator(); all.hasNext(); ) {
      Map.Entry<String, Given> one = all.next();
      long ago = now - one.getValue().atMicros();
      if (ago > safety.leaseMicros() + TELL_SLACK_MICROS) {
        all.remove();
        continue;
      }
      part.add(new LeaseRenewal(one.getKey(), (int) (ago / 1000)));
      bytes += ANSWER_BYTES + 3 * one.getKey().length();
      if (bytes > PART_BYTES) {
        frames.add(new DelegatedRenewals(member, incarnation, now, part));
        part = new ArrayList<>();
        bytes = 0;
      }
    }
    if (!part.isEmpty()) {
      frames.add(new DelegatedRenewals(member, incarnation, now, part));
    }
    frames.add(
        new MembershipStatus(
            member,
            incarnation,
            now,
            now - bornMicros,
            highestTerm,
            grantMicros,
            frames.size(),
            echoes));
    return frames;
  }

  /** The stamps last heard, to be sent back. */
  public List<StampEcho> echoes() {
    return heard.entrySet().stream()
        .map(
            peer ->
                new StampEcho(
                    peer.getKey(), peer.getValue().incarnation(), peer.getValue().stampMicros()))
        .toList();
  }
}
