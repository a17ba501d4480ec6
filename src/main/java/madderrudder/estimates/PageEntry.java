package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** One entry of a stored page. The byte layout must not change. */
sealed interface PageEntry {
  /** The most bytes that {@link #write} needs. */
  int maxBytes();

  void write(ByteBuffer out);

  /** Puts what the entry says into the estimator, as its most recently used entry. */
  void restoreTo(Estimator estimator);

  /**
   * Reads the next entry; throws a RuntimeException if the bytes end early or are no histograms.
   *
   * @throws MalformedPageException if it is of an unknown type
   */
  static PageEntry read(ByteBuffer in) throws MalformedPageException {
    byte type = in.get();
    Level level = Level.ofCode(in.get());
    return switch (type) {
      case OfProfile.TYPE -> OfProfile.read(in, level);
      case OfCalibration.TYPE -> OfCalibration.read(in, level);
      default -> throw MalformedPageException.invalidContent("entry of unknown type " + type);
    };
  }

  /** The evidence of a profile. */
  record OfProfile(ProfileKey profile, Evidence evidence) implements PageEntry {
    private static final byte TYPE = 1;

    @Override
    public int maxBytes() {
      int characters =
          profile.jobClass().length() + profile.team().length() + profile.image().length();
      return evidence.maxBytes() + Layout.maxHeadBytes(characters);
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

    private static OfProfile read(ByteBuffer in, Level level) {
      ProfileKey profile =
          new ProfileKey(
              level, Layout.readText(in), Layout.readText(in), Layout.readText(in), in.getInt());
      return new OfProfile(profile, Evidence.read(in, level.windowRuns));
    }

    @Override
    public void restoreTo(Estimator estimator) {
      estimator.evidenceByProfile().put(profile, evidence);
    }
  }

  /** The scores by which prediction intervals are calibrated. */
  record OfCalibration(CalibrationKey key, CalibrationScores scores) implements PageEntry {
    private static final byte TYPE = 2;

    @Override
    public int maxBytes() {
      return scores.maxBytes() + Layout.maxHeadBytes(key.jobClass().length());
    }

    @Override
    public void write(ByteBuffer out) {
      out.put(TYPE).put(key.level().code());
      Layout.writeText(out, key.jobClass());
      out.putInt(key.evidenceBits());
      scores.write(out);
    }

    private static OfCalibration read(ByteBuffer in, Level level) {
      CalibrationKey key = new CalibrationKey(Layout.readText(in), level, in.getInt());
      return new OfCalibration(key, CalibrationScores.read(in));
    }

    @Override
    public void restoreTo(Estimator estimator) {
      estimator.scoresByKey().put(key, scores);
    }
  }

  /** What both types of entries have in common. */
  final class Layout {
    /** Of an entry: its type and level, the lengths of its texts, and a number. */
    private static final int FIXED_BYTES = 2 + 4 * Integer.BYTES;

    private static final int MAX_BYTES_PER_CHAR = 3;

    private Layout() {}

    /** The most bytes of an entry before its histograms, if its texts have so many characters. */
    private static int maxHeadBytes(int characters) {
      return FIXED_BYTES + MAX_BYTES_PER_CHAR * characters;
    }

    /** Writes the length in bytes and the text in UTF-8. */
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
