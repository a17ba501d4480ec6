package madderrudder.coordination.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.LogReference;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.TaskAttempt;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.Keys;
import madderrudder.persistence.LogSegment;
import madderrudder.persistence.PendingChange;
import madderrudder.protocol.StoreCodec.Write;

/**
 * Keeps machines and placements in the store, as a log whose pages are written over in turn. A
 * transaction carries one page for all that was placed since the last, so that a start costs a
 * fraction of a write, however many there are: with one key a machine each start cost a write, and
 * 1,400 machines start three times as many tasks a second as their store takes changes.
 *
 * <p>The oldest page is written over once the log is larger than what it has to say: what still
 * holds of it goes into the page that replaces it. What has ended is named before, or together
 * with, whatever is placed later: the pages together never name a task twice.
 */
final class MachineLog {
  /** More than a round places. Three of the largest fit in a transaction. */
  private static final int MOST_PAGES = 3;

  private static final int MOST_PAGE_BYTES = 15 * 1024;

  /**
   * Left free by what is new, so that a page still fits when its machines are named anew as being
   * returned.
   */
  private static final int SPARE_BYTES = 512;

  /**
   * The log may grow to this many times what holds, and a little: less would copy much at each
   * turn.
   */
  private static final int SLACK_FACTOR = 2;

  private static final int SLACK = 200;

  private final LeaderTerm term;
  private final Consumer<Machine> onDurable;
  private final int pageBytes;
  private final PendingChange change = new PageChange();
  // What the store lacks.
  private final Set<Machine> machines = new LinkedHashSet<>();
  private final Set<String> gone = new LinkedHashSet<>();
  private final Set<LogSegment.Ended> ended = new LinkedHashSet<>();
  private final Set<Assignment> placed = new LinkedHashSet<>();
  private final Set<Kept> images = new LinkedHashSet<>();
  // What it has, oldest first, and what is on its way there.
  private final Deque<Page> pages = new ArrayDeque<>();
  private final List<Page> building = new ArrayList<>();
  private final Map<Kept, Page> keptIn = new HashMap<>();
  private final Deque<Integer> freeSlots = new ArrayDeque<>();
  private int slots;
  private int entries;
  private long number;

  /** An image that a machine has come to have. */
  private record Kept(Machine machine, String name, double gb) {}

  /** A page and what it names. */
  static final class Page implements LogReference {
    private final int slot;
    private final long number;

    /** What it is written over, or null. */
    private Page over;

    private final List<Machine> machines = new ArrayList<>();
    private final List<Machine> retiring = new ArrayList<>();
    private final List<String> gone = new ArrayList<>();
    private final List<LogSegment.Ended> ended = new ArrayList<>();
    private final List<Assignment> placed = new ArrayList<>();
    private final List<Kept> images = new ArrayList<>();

    private Page(int slot, long number, Page over) {
      this.slot = slot;
      this.number = number;
      this.over = over;
    }

    private int size() {
      return machines.size() + placed.size() + images.size();
    }
  }

  MachineLog(LeaderTerm term, Consumer<Machine> onDurable) {
    this.term = term;
    this.onDurable = onDurable;
    pageBytes = Math.min(MOST_PAGE_BYTES, term.deployment.state().valueBytes());
  }

  /**
   * Takes over a page of an earlier leader, in the order of their numbers, with all it says in the
   * picture.
   */
  void load(int slot, LogSegment found) {
    Page page = new Page(slot, found.number(), null);
    for (LogSegment.MachineEntry entry : found.machines()) {
      Machine machine = term.cluster.machines.get(entry.id());
      if (machine != null) {
        page.machines.add(machine);
        machine.logReference = page;
      }
    }
    for (LogSegment.Entry entry : found.placed()) {
      Machine machine = term.cluster.machines.get(entry.machine());
      Assignment assignment =
          machine == null
              ? null
              : machine.assignments.get(new TaskAttempt(entry.task(), entry.attempt()));
      if (assignment != null) {
        page.placed.add(assignment);
        assignment.logReference = page;
      }
    }
    for (LogSegment.Image image : found.images()) {
      Machine machine = term.cluster.machines.get(image.machine());
      if (machine != null) {
        Kept kept = new Kept(machine, image.name(), image.gb());
        page.images.add(kept);
        keptIn.put(kept, page);
      }
    }
    pages.addLast(page);
    entries += page.size();
    number = Math.max(number, found.number());
    slots = Math.max(slots, slot + 1);
  }

  void machine(Machine machine) {
    machines.add(machine);
    term.commits.add(change, Urgency.SOON);
  }

  void gone(Machine machine) {
    machines.remove(machine);
    gone.add(machine.id);
    term.commits.add(change, Urgency.SOON);
  }

  void placed(Assignment assignment) {
    placed.add(assignment);
    term.commits.add(change, Urgency.FIRST);
  }

  /** Nobody waits for this: what is placed later carries it along. */
  void ended(Assignment assignment) {
    if (!placed.remove(assignment)) {
      ended.add(new LogSegment.Ended(assignment.task, assignment.attempt, assignment.machine.id));
      term.commits.add(change, Urgency.LATER);
    }
  }

  void kept(Machine machine, String image, double gb) {
    images.add(new Kept(machine, image, gb));
    term.commits.add(change, Urgency.LATER);
  }

  private static boolean holds(Assignment assignment) {
    return assignment.machine.assignments.get(assignment.key()) == assignment;
  }

  private boolean there(Machine machine) {
    return term.cluster.machines.get(machine.id) == machine;
  }

  private int holding() {
    int holding = term.cluster.machines.size();
    for (Machine machine : term.cluster.machines.values()) {
      holding += machine.assignments.size() + machine.imageCount();
    }
    return holding;
  }

  /** A page to be filled, and what goes into it. */
  private final class Filling {
    private final LogSegment.Builder text = new LogSegment.Builder(pageBytes);
    private Page page;

    /** What holds of the page that is written over; false if it does not fit. */
    private boolean carry(Page over) {
      page = new Page(over.slot, ++number, over);
      boolean fits = true;
      for (Machine machine : over.machines) {
        fits &= machine.logReference != over || !there(machine) || add(machine);
      }
      for (Assignment assignment : over.placed) {
        fits &= assignment.logReference != over || !holds(assignment) || add(assignment);
      }
      for (Kept kept : over.images) {
        fits &=
            keptIn.get(kept) != over
                || !there(kept.machine())
                || !kept.machine().hasImage(kept.name())
                || add(kept);
      }
      return fits;
    }

    private void open() {
      int slot = freeSlots.isEmpty() ? slots++ : freeSlots.pop();
      page = new Page(slot, ++number, null);
    }

    private boolean add(Machine machine) {
      LogSegment.JobKind kind =
          new LogSegment.JobKind(machine.type.name(), machine.zone, machine.spot, machine.owned);
      boolean fits =
          text.add(
              new LogSegment.MachineEntry(
                  machine.id, kind, machine.rentedWallMicros, machine.retiring));
      if (fits) {
        page.machines.add(machine);
        if (machine.retiring) {
          page.retiring.add(machine);
        }
      }
      return fits;
    }

    private boolean add(Assignment assignment) {
      return text.add(
              new LogSegment.Entry(
                  assignment.task,
                  assignment.attempt,
                  new LogSegment.Share(assignment.team, assignment.resources),
                  assignment.machine.id))
          && page.placed.add(assignment);
    }

    private boolean add(Kept kept) {
      return text.add(new LogSegment.Image(kept.name(), kept.gb(), kept.machine().id))
          && page.images.add(kept);
    }

    /**
     * A machine is named before what is placed on it, and what has ended before what is placed
     * instead.
     */
    private void fill() {
      text.spare(SPARE_BYTES);
      boolean fits =
          take(machines, this::add)
              && take(gone, id -> text.addGone(id) && page.gone.add(id))
              && take(ended, end -> text.add(end) && page.ended.add(end))
              && take(placed, this::add);
      if (fits) {
        take(images, this::add);
      }
    }

    private static <T> boolean take(Set<T> from, Predicate<T> add) {
      for (Iterator<T> each = from.iterator(); each.hasNext(); ) {
        if (!add.test(each.next())) {
          return false;
        }
        each.remove();
      }
      return true;
    }
  }

  private boolean pending() {
    return !(machines.isEmpty()
        && gone.isEmpty()
        && ended.isEmpty()
        && placed.isEmpty()
        && images.isEmpty());
  }

  private List<Write> build() {
    List<Write> writes = new ArrayList<>();
    int most = SLACK_FACTOR * holding() + SLACK;
    while (pending() && building.size() < MOST_PAGES) {
      Filling filling = new Filling();
      Page oldest = entries > most ? pages.peekFirst() : null;
      if (oldest != null && filling.carry(oldest)) {
        pages.removeFirst();
        entries -= oldest.size();
      } else {
        filling = new Filling();
        filling.open();
      }
      filling.fill();
      building.add(filling.page);
      writes.add(Write.put(Keys.page(filling.page.slot), filling.text.render(filling.page.number)));
    }
    return writes;
  }

  /** What was built was not written, and is built anew from the newest wishes. */
  private void takeBack() {
    for (int i = building.size() - 1; i >= 0; i--) {
      Page page = building.get(i);
      if (page.over != null) {
        pages.addFirst(page.over);
        entries += page.over.size();
      } else {
        freeSlots.push(page.slot);
      }
      page.machines.stream()
          .filter(m -> there(m) && (m.logReference == null || m.logReference != page.over))
          .forEach(machines::add);
      gone.addAll(page.gone);
      ended.addAll(page.ended);
      page.placed.stream().filter(a -> holds(a) && a.logReference == null).forEach(placed::add);
      images.addAll(page.images);
    }
    building.clear();
  }

  private void written() {
    Set<Machine> settled = new LinkedHashSet<>();
    for (Page page : building) {
      pages.addLast(page);
      entries += page.size();
      if (page.over != null) {
        page.over.images.forEach(kept -> keptIn.remove(kept, page.over));
      }
      page.images.forEach(kept -> keptIn.put(kept, page));
      page.over = null;
      page.machines.forEach(machine -> machine.logReference = page);
      for (Machine machine : page.retiring) {
        machine.retiringDurable = true;
        settled.add(machine);
      }
      for (Assignment assignment : page.placed) {
        assignment.logReference = page;
        if (!assignment.durable) {
          assignment.durable = true;
          assignment.durableMicros = term.scheduler.nowMicros();
          term.metrics.record(Timing.RECORDING, assignment.durableMicros - assignment.placedMicros);
          settled.add(assignment.machine);
        }
      }
      // Their names have done what they were kept for.
      page.gone.clear();
      page.ended.clear();
      page.retiring.clear();
    }
    building.clear();
    if (pending()) {
      term.commits.add(
          change,
          !placed.isEmpty()
              ? Urgency.FIRST
              : machines.isEmpty() && gone.isEmpty() ? Urgency.LATER : Urgency.SOON);
    }
    settled.forEach(onDurable);
  }

  private final class PageChange implements PendingChange {
    @Override
    public String name() {
      return Keys.PAGES;
    }

    @Override
    public List<Write> writes() {
      takeBack();
      return build();
    }

    @Override
    public void committed() {
      written();
    }
  }
}
