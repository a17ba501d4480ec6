package madderrudder.coordination;

import java.util.HashMap;
import java.util.Map;
import madderrudder.protocol.MeshFrame.Answered;
import madderrudder.protocol.MeshFrame.Echo;
import madderrudder.protocol.MeshFrame.Standing;

/**
 * What a leader knows of the controllers that may answer workers in its stead: until when each may, and up to which
 * moment it has told of all its answers. From that follows when a silent machine's worker has surely dropped everything.
 */
final class Deputies {
    private static final long NEVER = Long.MIN_VALUE / 4;

    private final long leaseMicros;
    private final Map<String, Member> members = new HashMap<>();

    /** One controller; the times are of the leader's clock. */
    private static final class Member {
        long life;
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

    Deputies(long leaseMicros) {
        this.leaseMicros = leaseMicros;
    }

    /** The process that sent the echo may answer until then, if it hears of it. */
    void granted(Echo to, long untilMicros) {
        Member member = members.get(to.member());
        if (member != null && member.life == to.life()) {
            member.grantedMicros = Math.max(member.grantedMicros, untilMicros);
        } else {
            Member unknown = members.computeIfAbsent(to.member(), name -> new Member());
            unknown.formerMicros = Math.max(unknown.formerMicros, untilMicros);
        }
    }

    /** A part of what a controller has answered; the answers themselves are the caller's to note. */
    void heard(Answered part) {
        Member member = members.get(part.member());
        if (member == null || member.life != part.life()) {
            return;
        }
        member.parts = member.partsStampMicros == part.stampMicros() ? member.parts + 1 : 1;
        member.partsStampMicros = part.stampMicros();
    }

    /** A controller's word, with what it has heard of this leader's process, or null. */
    void heard(Standing standing, Echo mine, long nowMicros) {
        Member member = members.get(standing.member());
        if (member == null || member.firstMicros == 0) {
            member = member == null ? new Member() : member;
            member.life = standing.life();
            member.firstMicros = nowMicros;
            members.put(standing.member(), member);
        } else if (member.life != standing.life() && !succeeds(member, mine, nowMicros, standing.life())) {
            return;
        }
        boolean complete = standing.answeredParts() == 0
                || member.partsStampMicros == standing.stampMicros() && member.parts == standing.answeredParts();
        if (mine != null && complete) {
            member.toldMicros = Math.max(member.toldMicros, mine.stampMicros());
        }
    }

    /**
     * One process at a time has the name. A process that has heard what was sent after another of the name was first
     * heard lived later than that one, which so has ended; otherwise it may be the earlier one, late on its way.
     */
    private static boolean succeeds(Member member, Echo mine, long nowMicros, long life) {
        if (mine == null || mine.stampMicros() < member.firstMicros) {
            return false;
        }
        member.formerMicros = Math.max(member.formerMicros, Math.min(member.grantedMicros, nowMicros));
        member.life = life;
        member.firstMicros = nowMicros;
        member.toldMicros = NEVER;
        member.grantedMicros = NEVER;
        member.parts = 0;
        return true;
    }

    /**
     * Whether a worker has surely dropped everything, given when it was last known to be answered: a lease has passed
     * since, and each controller either has told of all its answers up to the end of that lease, or can't have
     * given one for a lease.
     */
    boolean dropped(long answeredMicros, long nowMicros) {
        long end = answeredMicros + leaseMicros;
        if (nowMicros <= end) {
            return false;
        }
        for (Member member : members.values()) {
            if (nowMicros <= member.formerMicros + leaseMicros
                    || member.toldMicros < end && nowMicros <= member.grantedMicros + leaseMicros) {
                return false;
            }
        }
        return true;
    }
}
