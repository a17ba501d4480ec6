package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses and writes JSON text. The nesting depth and the length of numbers are limited, so that a
 * parsed text takes memory in proportion to its size. The fields of each message are defined in the
 * codecs.
 */
public final class Json {
  private static final int MAX_NESTING_DEPTH = 64;
  private static final int MAX_NUMBER_LENGTH = 64;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_NESTING_DEPTH)
                  .maxNumberLength(MAX_NUMBER_LENGTH)
                  .build())
          .build();

  /**
   * A number beyond the range of a double, as it was written. No field accepts such a number, but
   * it may occur in an unknown field, which is ignored and written back. An infinite double would
   * be written back as a string.
   */
  private record OutOfRangeNumber(String digits) {
    @Override
    public String toString() {
      return digits;
    }
  }

  private Json() {}

  /** A callback that writes the content of a JSON text. */
  public interface Body {
    /** Writes to the generator, which the caller opens and closes. */
    void write(JsonGenerator out) throws IOException;
  }

  /** Returns the JSON text that the body writes, in UTF-8. */
  public static byte[] render(Body body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      body.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** Returns a JSON object whose fields are written by the callback, in UTF-8. */
  public static byte[] object(Body fields) {
    return render(
        out -> {
          out.writeStartObject();
          fields.write(out);
          out.writeEndObject();
        });
  }

  /** Encodes the body of an error response. */
  public static byte[] error(String message) {
    return object(out -> out.writeStringField("error", message));
  }

  /**
   * Parses a text that consists of exactly one JSON object.
   *
   * @throws MalformedMessageException if the text is not JSON, or not exactly one object
   */
  public static JsonFields readObject(byte[] bytes) throws MalformedMessageException {
    Object value = read(bytes);
    if (value instanceof Map<?, ?> map) {
      return new JsonFields(map);
    }
    throw new MalformedMessageException("not a JSON object");
  }

  private static Object read(byte[] bytes) throws MalformedMessageException {
    try (JsonParser in = FACTORY.createParser(bytes)) {
      if (in.nextToken() == null) {
        throw new MalformedMessageException("empty");
      }
      Object value = readValue(in);
      if (in.nextToken() != null) {
        throw new MalformedMessageException("text after the JSON value");
      }
      return value;
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
  }

  /** Reads the value that starts at the parser's current token; JSON null becomes Java null. */
  private static Object readValue(JsonParser in) throws IOException {
    return switch (in.currentToken()) {
      case START_OBJECT -> readMap(in);
      case START_ARRAY -> readList(in);
      case VALUE_STRING -> in.getText();
      case VALUE_NUMBER_INT -> readInteger(in);
      case VALUE_NUMBER_FLOAT -> readDecimal(in);
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static Map<String, Object> readMap(JsonParser in) throws IOException {
    Map<String, Object> map = new LinkedHashMap<>();
    while (in.nextToken() != JsonToken.END_OBJECT) {
      String name = in.currentName();
      in.nextToken();
      map.put(name, readValue(in));
    }
    return map;
  }

  private static List<Object> readList(JsonParser in) throws IOException {
    List<Object> list = new ArrayList<>();
    while (in.nextToken() != JsonToken.END_ARRAY) {
      list.add(readValue(in));
    }
    return list;
  }

  private static Object readInteger(JsonParser in) throws IOException {
    if (in.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      return in.getBigIntegerValue();
    }
    return in.getLongValue();
  }

  /** Reads a decimal number as a double if its text stands for the same number, else exactly. */
  private static Object readDecimal(JsonParser in) throws IOException {
    double number = in.getDoubleValue();
    if (Double.isInfinite(number)) {
      return new OutOfRangeNumber(in.getText());
    }
    if (number == 0) {
      return number;
    }
    BigDecimal exact = in.getDecimalValue();
    return exact.compareTo(BigDecimal.valueOf(number)) == 0 ? (Object) number : exact;
  }

  /** Writes a value of one of the types that {@link #readValue} returns. */
  static void writeValue(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      writeMap(out, map);
    } else if (value instanceof List<?> list) {
      writeList(out, list);
    } else if (value instanceof Long number) {
      out.writeNumber(number);
    } else if (value instanceof BigInteger number) {
      out.writeNumber(number);
    } else if (value instanceof BigDecimal number) {
      out.writeNumber(number);
    } else if (value instanceof Double number) {
      out.writeNumber(number);
    } else if (value instanceof OutOfRangeNumber number) {
      out.writeNumber(number.digits());
    } else if (value instanceof Boolean flag) {
      out.writeBoolean(flag);
    } else if (value instanceof String text) {
      out.writeString(text);
    } else {
      out.writeNull();
    }
  }

  private static void writeMap(JsonGenerator out, Map<?, ?> map) throws IOException {
    out.writeStartObject();
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      out.writeFieldName((String) entry.getKey());
      writeValue(out, entry.getValue());
    }
    out.writeEndObject();
  }

  private static void writeList(JsonGenerator out, List<?> list) throws IOException {
    out.writeStartArray();
    for (Object element : list) {
      writeValue(out, element);
    }
    out.writeEndArray();
  }
}
