package madderrudder.estimates;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import madderrudder.estimates.Estimator.Grade;
import madderrudder.estimates.TaskProfile.JobKind;

/**
 * What an estimator knows as a few pages of text, so that whoever leads next goes on from there. A
 * kind always belongs to the same page, so that a page alone can be written anew. Of a page's kinds
 * those used last are kept, as far as they fit. What is known of single jobs, machines and types is
 * not kept: it is soon learned again.
 */
public final class EstimatePages {
  /** Of what is in a page; another one is refused. */
  private static final byte VERSION = 1;

  private static final int HEAD_BYTES = 1 + Long.BYTES;
  private static final int MOST_BYTES = 1 << 20;
  private static final int KIND = 1;
  private static final int GRADE = 2;

  /** Of an entry: its sort and level, the lengths of its names, and a number. */
  private static final int FIXED_BYTES = 2 + 4 * Integer.BYTES;

  private static final int MOST_CHAR_BYTES = 3;

  /** When too many kinds for a page are tried again with fewer. */
  private static final double FEWER = 0.9;

  private static final double MORE = 1.1;

  private final Estimator estimator;
  private final int pages;
  private final int pageBytes;
  private final BitSet changed = new BitSet();
  private final int[] fitted;

  /** A page can't be read; the message says why. */
  public static final class Refused extends Exception {
    private static final long serialVersionUID = 1L;

    Refused(String message) {
      super(message);
    }
  }

  /**
   * Of a page: what is known of a kind, or what estimates of a grade have held. The other pair is
   * null.
   */
  private record Entry(JobKind kind, Evidence evidence, Grade grade, Scores scores) {
    int mostBytes() {
      return kind != null
          ? evidence.mostBytes()
              + FIXED_BYTES
              + MOST_CHAR_BYTES
                  * (kind.jobClass().length() + kind.team().length() + kind.image().length())
          : scores.mostBytes() + FIXED_BYTES + MOST_CHAR_BYTES * grade.jobClass().length();
    }

    void write(ByteBuffer out) {
      out.put((byte) (kind != null ? KIND : GRADE));
      out.put((kind != null ? kind.level() : grade.level()).code());
      if (kind != null) {
        put(out, kind.jobClass());
        put(out, kind.team());
        put(out, kind.image());
        out.putInt(kind.size());
        evidence.write(out);
      } else {
        put(out, grade.jobClass());
        out.putInt(grade.evidence());
        scores.write(out);
      }
    }

    static Entry read(ByteBuffer in) throws Refused {
      byte what = in.get();
      Level level = Level.ofCode(in.get());
      if (what == KIND) {
        JobKind kind = new JobKind(level, text(in), text(in), text(in), in.getInt());
        return new Entry(kind, Evidence.read(in, level.window), null, null);
      }
      if (what != GRADE) {
        throw new Refused("torn: an entry is of no known sort");
      }
      Grade grade = new Grade(text(in), level, in.getInt());
      return new Entry(null, null, grade, Scores.read(in));
    }
  }

  /** {@code pageBytes} is the longest that a page's text may be. */
  public EstimatePages(Estimator estimator, int pages, int pageBytes) {
    this.estimator = estimator;
    this.pages = pages;
    fitted = new int[pages];
    this.pageBytes = pageBytes;
  }

  /**
   * A run was taken in: its kinds have changed, and what was held of its class, and so have their
   * pages.
   */
  public void changed(TaskProfile profile) {
    for (Level level : Estimator.KINDS) {
      changed.set(page(profile.kind(level)));
    }
    changed.set(page(profile.jobClass()));
    changed.set(page(""));
  }

  /** The next page to be written, in turn from the given one, or -1 if none has changed. */
  public int nextChanged(int from) {
    int next = changed.nextSetBit(from);
    return next >= 0 ? next : changed.nextSetBit(0);
  }

  /** The same in every process, unlike the hash of a record with an enum in it. */
  private int page(JobKind kind) {
    return Math.floorMod(
        kind.level().name().hashCode() * 31
            + List.of(kind.jobClass(), kind.team(), kind.image(), kind.size()).hashCode(),
        pages);
  }

  /** All grades of a class are on one page. */
  private int page(String jobClass) {
    return Math.floorMod(jobClass.hashCode(), pages);
  }

  /** The page as it is now; from here on it has not changed. */
  public String write(int page) {
    changed.clear(page);
    List<Entry> entries = new ArrayList<>();
    addGrades(entries, page, false);
    estimator
        .kinds()
        .forEach(
            (kind, evidence) -> {
              if (page(kind) == page) {
                entries.add(new Entry(kind, evidence, null, null));
              }
            });
    addGrades(entries, page, true);
    Collections.reverse(entries);
    return fitting(entries, page);
  }

  /**
   * Grades of all classes are few, and all rely on them; those of one class are a refinement, and
   * go first.
   */
  private void addGrades(List<Entry> entries, int page, boolean ofAll) {
    estimator
        .scores()
        .forEach(
            (grade, known) -> {
              if (page(grade.jobClass()) == page && grade.jobClass().isEmpty() == ofAll) {
                entries.add(new Entry(null, null, grade, known));
              }
            });
  }

  /** As many from the first on as fit; it begins with a few more than fitted the last time. */
  private String fitting(List<Entry> all, int page) {
    int most = fitted[page] == 0 ? all.size() : (int) (MORE * fitted[page]) + 1;
    List<Entry> entries = all.subList(0, Math.min(all.size(), most));
    while (true) {
      String text = encode(entries);
      if (text.length() <= pageBytes || entries.isEmpty()) {
        fitted[page] = entries.size();
        return text;
      }
      entries = entries.subList(0, (int) (FEWER * entries.size()));
    }
  }

  private static String encode(List<Entry> entries) {
    ByteBuffer out =
        ByteBuffer.allocate(Integer.BYTES + entries.stream().mapToInt(Entry::mostBytes).sum());
    out.putInt(entries.size());
    entries.forEach(entry -> entry.write(out));
    return Base64.getEncoder().encodeToString(packed(out.flip()));
  }

  private static void put(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.putInt(bytes.length).put(bytes);
  }

  private static byte[] packed(ByteBuffer plain) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    deflater.setInput(plain.duplicate().rewind());
    deflater.finish();
    ByteArrayOutputStream out = new ByteArrayOutputStream(plain.limit() / 2);
    byte[] part = new byte[4_096];
    while (!deflater.finished()) {
      out.write(part, 0, deflater.deflate(part));
    }
    deflater.end();
    byte[] body = out.toByteArray();
    return ByteBuffer.allocate(HEAD_BYTES + body.length)
        .put(VERSION)
        .putLong(sum(body))
        .put(body)
        .array();
  }

  private static long sum(byte[] bytes) {
    CRC32C sum = new CRC32C();
    sum.update(bytes);
    return sum.getValue();
  }

  /**
   * Takes over what a page of an earlier leader says; nothing of it is taken if it can't be read as
   * a whole.
   */
  public void read(String text) throws Refused {
    List<Entry> entries;
    try {
      entries = decode(unpacked(Base64.getDecoder().decode(text)));
    } catch (IllegalArgumentException
        | BufferUnderflowException
        | IndexOutOfBoundsException
        | NegativeArraySizeException
        | DataFormatException e) {
      throw new Refused("torn: " + e);
    }
    Collections.reverse(entries);
    for (Entry entry : entries) {
      if (entry.kind() != null) {
        estimator.kinds().put(entry.kind(), entry.evidence());
      } else {
        estimator.scores().put(entry.grade(), entry.scores());
      }
    }
  }

  private static ByteBuffer unpacked(byte[] packed) throws Refused, DataFormatException {
    ByteBuffer in = ByteBuffer.wrap(packed);
    byte version = in.get();
    if (version != VERSION) {
      throw new Refused("of version " + version + ", not " + VERSION);
    }
    long sum = in.getLong();
    byte[] body = new byte[in.remaining()];
    in.get(body);
    if (sum(body) != sum) {
      throw new Refused("torn: its sum does not match");
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(body);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] part = new byte[4_096];
      while (!inflater.finished()) {
        int count = inflater.inflate(part);
        if (count == 0 || out.size() > MOST_BYTES) {
          throw new Refused("torn: it ends early, or never");
        }
        out.write(part, 0, count);
      }
      return ByteBuffer.wrap(out.toByteArray());
    } finally {
      inflater.end();
    }
  }

  private static List<Entry> decode(ByteBuffer in) throws Refused {
    int count = in.getInt();
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(Entry.read(in));
    }
    return entries;
  }

  private static String text(ByteBuffer in) {
    byte[] bytes = new byte[in.getInt()];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
