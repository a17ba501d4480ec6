package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON texts. Nesting and the length of numbers are bounded, so that a text costs
 * memory in proportion to its size. Which fields a message has is known to the codecs alone.
 */
public final class Json {
  private static final int MAX_DEPTH = 64;
  private static final int MAX_NUMBER_LENGTH = 64;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(MAX_DEPTH)
                  .maxNumberLength(MAX_NUMBER_LENGTH)
                  .build())
          .build();

  /**
   * A number beyond a double's range, with the digits that were read. No field takes one, but
   * unknown fields are to be ignored; kept as infinite, it would be written again as a string.
   */
  private record OutOfRangeNumber(String digits) {
    @Override
    public String toString() {
      return digits;
    }
  }

  private Json() {}

  /** Writes the content of a JSON text. */
  public interface Body {
    /** Writes into the generator, which the caller opens and closes. */
    void write(JsonGenerator out) throws IOException;
  }

  /** The JSON text that the body writes. */
  public static byte[] render(Body body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      body.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** The JSON text of one object whose fields the body writes. */
  public static byte[] object(Body fields) {
    return render(
        out -> {
          out.writeStartObject();
          fields.write(out);
          out.writeEndObject();
        });
  }

  /** The body of an answer that says what went wrong. */
  public static byte[] error(String message) {
    return object(out -> out.writeStringField("error", message));
  }

  /**
   * Reads one whole text as an object.
   *
   * @throws MalformedMessageException if the text is not JSON, or anything but one object
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
      Object value = value(in);
      if (in.nextToken() != null) {
        throw new MalformedMessageException("text after the JSON value");
      }
      return value;
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
  }

  /** The value at the parser's current token; null for JSON's null. */
  private static Object value(JsonParser in) throws IOException {
    return switch (in.currentToken()) {
      case START_OBJECT -> objectValue(in);
      case START_ARRAY -> arrayValue(in);
      case VALUE_STRING -> in.getText();
      case VALUE_NUMBER_INT -> integerValue(in);
      case VALUE_NUMBER_FLOAT -> decimalValue(in);
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  private static Map<String, Object> objectValue(JsonParser in) throws IOException {
    Map<String, Object> map = new LinkedHashMap<>();
    while (in.nextToken() != JsonToken.END_OBJECT) {
      String name = in.currentName();
      in.nextToken();
      map.put(name, value(in));
    }
    return map;
  }

  private static List<Object> arrayValue(JsonParser in) throws IOException {
    List<Object> list = new ArrayList<>();
    while (in.nextToken() != JsonToken.END_ARRAY) {
      list.add(value(in));
    }
    return list;
  }

  private static Object integerValue(JsonParser in) throws IOException {
    if (in.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      return in.getBigIntegerValue();
    }
    return in.getLongValue();
  }

  private static Object decimalValue(JsonParser in) throws IOException {
    double number = in.getDoubleValue();
    if (Double.isInfinite(number)) {
      return new OutOfRangeNumber(in.getText());
    }
    return number;
  }

  /** Writes a value that was read here. */
  static void writeTree(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      writeMap(out, map);
    } else if (value instanceof List<?> list) {
      writeList(out, list);
    } else if (value instanceof Long number) {
      out.writeNumber(number);
    } else if (value instanceof BigInteger number) {
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
      writeTree(out, entry.getValue());
    }
    out.writeEndObject();
  }

  private static void writeList(JsonGenerator out, List<?> list) throws IOException {
    out.writeStartArray();
    for (Object element : list) {
      writeTree(out, element);
    }
    out.writeEndArray();
  }
}
