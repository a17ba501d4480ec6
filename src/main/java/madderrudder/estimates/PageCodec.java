package madderrudder.estimates;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.zip.CRC32C;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Encodes and decodes the text of a stored page. The text is the Base64 encoding of a version byte,
 * the CRC32C of the body as a long, and the body. The body is compressed with DEFLATE and contains
 * the number of entries followed by the entries. A change of the layout requires a new version.
 */
final class PageCodec {
  /** The format version of a page; pages of other versions are rejected. */
  private static final byte VERSION = 1;

  private static final int HEADER_BYTES = 1 + Long.BYTES;
  private static final int CHUNK_BYTES = 4_096;

  /** The limit of the decompressed size, which keeps a malformed page from exhausting memory. */
  private static final int MAX_INFLATED_BYTES = 1 << 20;

  private PageCodec() {}

  /** Encodes the entries in the given order. */
  static String encode(List<PageEntry> entries) {
    int maxBytes = Integer.BYTES + entries.stream().mapToInt(PageEntry::maxBytes).sum();
    ByteBuffer out = ByteBuffer.allocate(maxBytes);
    out.putInt(entries.size());
    entries.forEach(entry -> entry.write(out));
    byte[] body = deflate(out.flip());
    byte[] page =
        ByteBuffer.allocate(HEADER_BYTES + body.length)
            .put(VERSION)
            .putLong(checksum(body))
            .put(body)
            .array();
    return Base64.getEncoder().encodeToString(page);
  }

  private static byte[] deflate(ByteBuffer content) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(content.duplicate().rewind());
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream(content.limit() / 2);
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!deflater.finished()) {
        out.write(chunk, 0, deflater.deflate(chunk));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  private static long checksum(byte[] bytes) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes);
    return checksum.getValue();
  }

  /** Decodes all entries of the page, in the order in which they were encoded. */
  static List<PageEntry> decode(String text) throws MalformedPageException {
    try {
      return readEntries(ByteBuffer.wrap(inflate(body(Base64.getDecoder().decode(text)))));
    } catch (IllegalArgumentException
        | BufferUnderflowException
        | IndexOutOfBoundsException
        | NegativeArraySizeException
        | DataFormatException e) {
      throw MalformedPageException.invalidContent(e);
    }
  }

  /** The compressed part of a page. */
  private static byte[] body(byte[] page) throws MalformedPageException {
    ByteBuffer in = ByteBuffer.wrap(page);
    byte version = in.get();
    if (version != VERSION) {
      throw MalformedPageException.unsupportedVersion(version, VERSION);
    }
    long storedChecksum = in.getLong();
    byte[] body = new byte[in.remaining()];
    in.get(body);
    long computedChecksum = checksum(body);
    if (computedChecksum != storedChecksum) {
      throw MalformedPageException.checksumMismatch(storedChecksum, computedChecksum);
    }
    return body;
  }

  private static byte[] inflate(byte[] body) throws MalformedPageException, DataFormatException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(body);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] chunk = new byte[CHUNK_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(chunk);
        if (count == 0 || out.size() > MAX_INFLATED_BYTES) {
          throw MalformedPageException.invalidContent(
              "page content is truncated or too long after " + out.size() + " decompressed bytes");
        }
        out.write(chunk, 0, count);
      }
      return out.toByteArray();
    } finally {
      inflater.end();
    }
  }

  private static List<PageEntry> readEntries(ByteBuffer in) throws MalformedPageException {
    int count = in.getInt();
    List<PageEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(PageEntry.read(in));
    }
    return entries;
  }
}
