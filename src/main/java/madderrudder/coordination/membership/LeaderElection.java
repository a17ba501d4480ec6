package madderrudder.coordination.membership;

import java.util.List;
import java.util.random.RandomGenerator;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.persistence.Keys;
import madderrudder.persistence.StoreClient;
import madderrudder.persistence.StoreReply.Outcome;
import madderrudder.persistence.TermKey;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec;
import madderrudder.protocol.StoreCodec.Condition;
import madderrudder.protocol.StoreCodec.Item;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out who leads, and leads when nobody does. The leader's key hangs on a hold in the store;
 * who writes it raises the term in the same transaction.
 */
public final class LeaderElection {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  private static final long RETRY_MICROS = 200_000;
  private static final long CHECK_MICROS = 300_000;
  private static final long FOLLOW_MICROS = 2_000_000;
  private static final long YIELD_MICROS = 4_000_000;
  private static final int EXTENSIONS_PER_HOLD = 4;

  /**
   * Half of the terms that tokens have room for; a term a millisecond would take eight years to get
   * there.
   */
  private static final long MOST_TERM = 1L << 38;

  /** What becomes of a node. */
  public interface Listener {
    void elected(long term, long termVersion);

    void deposed();
  }

  private final Scheduler scheduler;
  private final StoreClient store;
  private final RandomGenerator random;
  private final String member;
  private final long leaseMicros;
  private final Listener listener;
  private boolean campaigning;
  private boolean leading;
  private long term;
  private long lease;
  private long leaseEndMicros;
  private long highestTerm;
  private String leader;
  private boolean vacant;

  /** The version of the leader's key if an earlier process of this member holds it, else 0. */
  private long inherited;

  private long notBeforeMicros = Long.MIN_VALUE;

  public LeaderElection(
      Scheduler scheduler,
      StoreClient store,
      RandomGenerator random,
      String member,
      long leaseMicros,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.random = random;
    this.member = member;
    this.leaseMicros = leaseMicros;
    this.listener = listener;
  }

  public void start() {
    read();
    scheduler.every(CHECK_MICROS, this::campaignIfVacant);
  }

  /** The member believed to lead, or null. */
  public String leader() {
    return leading ? member : leader;
  }

  public boolean leading() {
    return leading;
  }

  public long highestTerm() {
    return highestTerm;
  }

  /** The hold surely lasts, as far as this node's own clock can tell. */
  public boolean holdsLease() {
    return leading && scheduler.nowMicros() < leaseEndMicros;
  }

  /** The moment up to which the hold surely lasts. */
  public long leaseEndMicros() {
    return leaseEndMicros;
  }

  /**
   * A term heard of from a peer or a worker. Somebody with a higher one has replaced this leader. A
   * process that starts while the store is away mostly hears of the term from a worker first, and
   * of its leader later.
   */
  public void heard(long otherTerm, String otherLeader) {
    if (otherTerm == highestTerm
        && leader == null
        && !vacant
        && otherLeader != null
        && !otherLeader.isEmpty()) {
      leader = otherLeader;
    }
    if (otherTerm > highestTerm) {
      highestTerm = otherTerm;
      if (otherLeader != null && !otherLeader.isEmpty()) {
        leader = otherLeader;
      }
      if (leading && otherTerm > term) {
        stepDown("term " + otherTerm + " heard of");
      }
    }
  }

  /**
   * A token that a worker has seen; false for one that no leader can have given. Believed, it would
   * leave no higher term to lead in.
   */
  public boolean heardToken(long token) {
    if (FencingToken.term(token) > Math.max(MOST_TERM, highestTerm)) {
      return false;
    }
    heard(FencingToken.term(token), null);
    return true;
  }

  /** Steps down in favour of another node: this one does not campaign for a while. */
  public void yieldLeadership(String why) {
    notBeforeMicros = scheduler.nowMicros() + YIELD_MICROS;
    stepDown(why);
  }

  public void stepDown(String why) {
    if (!leading) {
      return;
    }
    LOG.info("stepping down from term {}: {}", term, why);
    leading = false;
    store.revokeLease(lease);
    listener.deposed();
  }

  private void read() {
    store.range(
        Keys.LEAD_PREFIX,
        "",
        reply -> {
          if (!reply.is(Outcome.OK)) {
            scheduler.after(RETRY_MICROS, this::read);
            return;
          }
          boolean found = false;
          for (Item item : reply.value().items()) {
            found |= note(item);
          }
          if (!found) {
            noteVacant();
          }
          follow(reply.value().revision());
        });
  }

  private void follow(long revision) {
    store.follow(
        Keys.LEAD_PREFIX,
        revision,
        FOLLOW_MICROS,
        reply -> {
          if (reply.is(Outcome.OK)) {
            for (Item item : reply.value().items()) {
              if (!note(item)) {
                noteVacant();
              }
            }
            follow(reply.value().revision());
          } else if (reply.is(Outcome.GONE)) {
            read();
          } else {
            scheduler.after(RETRY_MICROS, () -> follow(revision));
          }
        });
  }

  private boolean note(Item item) {
    if (item.value() == null || !item.key().equals(Keys.LEAD)) {
      return false;
    }
    try {
      long itsTerm = item.value().count("term");
      String itsMember = item.value().text("member");
      vacant = false;
      inherited = 0;
      if (!leading && !campaigning && itsMember.equals(member)) {
        noteInherited(item);
      }
      if (itsTerm >= highestTerm) {
        leader = itsMember;
      }
      heard(itsTerm, itsMember);
    } catch (MalformedMessageException e) {
      LOG.info("the leader's key is unreadable: {}", e.getMessage());
    }
    return true;
  }

  /**
   * One process at a time has this member's name, so the one that holds the lead has ended, and its
   * hold need not be waited for. After an outage of the store, which ends with all holds at their
   * full time, that once cost workers their leases.
   */
  private void noteInherited(Item item) {
    inherited = item.version();
    scheduler.execute(this::campaignIfVacant);
  }

  private void noteVacant() {
    vacant = true;
    inherited = 0;
    if (!leading) {
      leader = null;
      scheduler.after(random.nextLong(30_000), this::campaignIfVacant);
    }
  }

  private void campaignIfVacant() {
    if ((!vacant && inherited == 0)
        || leading
        || campaigning
        || scheduler.nowMicros() < notBeforeMicros) {
      return;
    }
    campaigning = true;
    long sentMicros = scheduler.nowMicros();
    store.grantLease(
        leaseMicros,
        reply -> {
          if (!reply.is(Outcome.OK)) {
            campaigning = false;
            return;
          }
          readTerm(reply.value(), sentMicros);
        });
  }

  private void readTerm(long newLease, long sentMicros) {
    store.getUrgent(
        Keys.TERM,
        reply -> {
          try {
            if (reply.is(Outcome.OK)) {
              claim(
                  newLease,
                  sentMicros,
                  TermKey.readTerm(reply.value().value()),
                  reply.value().version());
              return;
            }
            if (reply.is(Outcome.GONE)) {
              claim(newLease, sentMicros, 0, 0);
              return;
            }
          } catch (MalformedMessageException e) {
            LOG.error("the term key is unreadable: {}", e.getMessage());
          }
          giveUp(newLease);
        });
  }

  private void claim(long newLease, long sentMicros, long oldTerm, long termVersion) {
    long newTerm = Math.max(oldTerm, highestTerm) + 1;
    byte[] lead =
        Json.object(
            out -> {
              out.writeNumberField("term", newTerm);
              out.writeStringField("member", member);
            });
    List<Write> writes =
        List.of(
            new Write(Keys.LEAD, lead, newLease),
            Write.put(Keys.TERM, TermKey.encode(newTerm, member, 0)));
    byte[] body =
        StoreCodec.commit(
            List.of(new Condition(Keys.LEAD, inherited), new Condition(Keys.TERM, termVersion)),
            writes);
    store.commitUrgent(
        body,
        reply -> {
          campaigning = false;
          // After a silence the claim may still come true; with its hold given back it ends at
          // once.
          // The watch may bring this very claim before its answer comes: only a higher term counts.
          if (!reply.is(Outcome.OK) || highestTerm > newTerm) {
            giveUp(newLease);
            return;
          }
          lead(newTerm, newLease, sentMicros, reply.value());
        });
  }

  private void giveUp(long newLease) {
    campaigning = false;
    store.revokeLease(newLease);
  }

  private void lead(long newTerm, long newLease, long sentMicros, long termVersion) {
    leading = true;
    vacant = false;
    inherited = 0;
    term = newTerm;
    highestTerm = newTerm;
    lease = newLease;
    leaseEndMicros = SafetyBounds.leaseEndMicros(sentMicros, leaseMicros);
    LOG.info("leading in term {}", term);
    listener.elected(term, termVersion);
    extendLater(newTerm, leaseMicros / EXTENSIONS_PER_HOLD);
  }

  private void extendLater(long forTerm, long delayMicros) {
    scheduler.after(
        delayMicros,
        () -> {
          if (leading && term == forTerm) {
            extend(forTerm);
          }
        });
  }

  private void extend(long forTerm) {
    long sentMicros = scheduler.nowMicros();
    store.renewLease(
        lease,
        reply -> {
          if (!leading || term != forTerm) {
            return;
          }
          if (reply.is(Outcome.OK)) {
            leaseEndMicros =
                Math.max(leaseEndMicros, SafetyBounds.leaseEndMicros(sentMicros, leaseMicros));
            extendLater(forTerm, leaseMicros / EXTENSIONS_PER_HOLD);
          } else if (reply.is(Outcome.GONE)) {
            stepDown("the hold has ended");
          } else {
            extendLater(forTerm, RETRY_MICROS);
          }
        });
  }
}
