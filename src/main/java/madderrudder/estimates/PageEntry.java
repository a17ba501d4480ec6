package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** An entry of a stored page. The byte layout must not change without a new page version. */
sealed interface PageEntry {
  /** The maximum number of bytes that {@link #write} writes. */
  int maxBytes();

  /** Writes the entry to the buffer. */
  void write(ByteBuffer out);

  /** Puts the entry into the estimator as the most recently used one. */
  void restoreTo(Estimator estimator);

  /**
   * Reads the next entry; throws a RuntimeException if the bytes end early, or if the level or a
   * histogram is invalid.
   *
   * @throws MalformedPageException if the entry type is unknown
   */
  static PageEntry read(ByteBuffer in) throws MalformedPageException {
    byte type = in.get();
    Level level = Level.ofCode(in.get());
    return switch (type) {
      case ProfileEntry.TYPE -> ProfileEntry.read(in, level);
      case CalibrationEntry.TYPE -> CalibrationEntry.read(in, level);
      default -> throw MalformedPageException.invalidContent("unknown entry type " + type);
    };
  }

  /** The evidence of a profile. */
  record ProfileEntry(ProfileKey profile, Evidence evidence) implements PageEntry {
    private static final byte TYPE = 1;

    @Override
    public int maxBytes() {
      int characters =
          profile.jobClass().length() + profile.team().length() + profile.image().length();
      return evidence.maxBytes() + Layout.maxHeaderBytes(characters);
    }

    @Override
    public void write(ByteBuffer out) {
      out.put(TYPE).put(profile.level().code());
      Layout.writeText(out, profile.jobClass());
      Layout.writeText(out, profile.team());
      Layout.writeText(out, profile.image());
      out.putInt(profile.sizeBucket());
      evidence.write(out);
    }

    private static ProfileEntry read(ByteBuffer in, Level level) {
      ProfileKey profile =
          new ProfileKey(
              level, Layout.readText(in), Layout.readText(in), Layout.readText(in), in.getInt());
      return new ProfileEntry(profile, Evidence.read(in, level.generationRuns));
    }

    @Override
    public void restoreTo(Estimator estimator) {
      estimator.evidenceByProfile().put(profile, evidence);
    }
  }

  /** The scores by which prediction intervals are calibrated. */
  record CalibrationEntry(CalibrationKey key, CalibrationScores scores) implements PageEntry {
    private static final byte TYPE = 2;

    @Override
    public int maxBytes() {
      return scores.maxBytes() + Layout.maxHeaderBytes(key.jobClass().length());
    }

    @Override
    public void write(ByteBuffer out) {
      out.put(TYPE).put(key.level().code());
      Layout.writeText(out, key.jobClass());
      out.putInt(key.runCountBits());
      scores.write(out);
    }

    private static CalibrationEntry read(ByteBuffer in, Level level) {
      CalibrationKey key = new CalibrationKey(Layout.readText(in), level, in.getInt());
      return new CalibrationEntry(key, CalibrationScores.read(in));
    }

    @Override
    public void restoreTo(Estimator estimator) {
      estimator.scoresByKey().put(key, scores);
    }
  }

  /** The parts of the layout that both entry types share. */
  final class Layout {
    /**
     * The bytes of the entry type, the level, the lengths of up to three strings, and an integer.
     */
    private static final int FIXED_BYTES = 2 + 4 * Integer.BYTES;

    private static final int MAX_BYTES_PER_CHAR = 3;

    private Layout() {}

    /**
     * The maximum number of bytes before the evidence or scores of an entry whose strings have the
     * given number of characters in total.
     */
    private static int maxHeaderBytes(int characters) {
      return FIXED_BYTES + MAX_BYTES_PER_CHAR * characters;
    }

    /** Writes the length of the text in bytes, followed by its UTF-8 encoding. */
    private static void writeText(ByteBuffer out, String text) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      out.putInt(bytes.length).put(bytes);
    }

    private static String readText(ByteBuffer in) {
      byte[] bytes = new byte[in.getInt()];
      in.get(bytes);
      return new String(bytes, StandardCharsets.UTF_8);
    }
  }
}
