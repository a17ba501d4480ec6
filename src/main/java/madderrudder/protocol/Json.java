package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Streams JSON in and out; the codecs beside it know the wire words. */
public final class Json {
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(64).maxNumberLength(64).build())
          .build();

  /**
   * A number beyond a double's range, as it came. No field takes one, but unknown fields are to be
   * ignored; kept as infinite, it would be written again as a text.
   */
  private record Beyond(String digits) {}

  private Json() {}

  /** What a codec writes into. */
  public interface Body {
    void write(JsonGenerator out) throws IOException;
  }

  /** Renders one JSON text. */
  public static byte[] render(Body body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (JsonGenerator out = FACTORY.createGenerator(bytes)) {
      body.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** Renders one object whose fields the body writes. */
  public static byte[] object(Body fields) {
    return render(
        out -> {
          out.writeStartObject();
          fields.write(out);
          out.writeEndObject();
        });
  }

  public static byte[] error(String message) {
    return object(out -> out.writeStringField("error", message));
  }

  /** Reads one whole text as an object; anything else is malformed. */
  public static Fields readObject(byte[] bytes) throws MalformedMessageException {
    Object value = read(bytes);
    if (value instanceof Map<?, ?> map) {
      return new Fields(map);
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

  private static Object value(JsonParser in) throws IOException {
    JsonToken token = in.currentToken();
    switch (token) {
      case START_OBJECT -> {
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
          String name = in.currentName();
          in.nextToken();
          map.put(name, value(in));
        }
        return map;
      }
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          list.add(value(in));
        }
        return list;
      }
      case VALUE_STRING -> {
        return in.getText();
      }
      case VALUE_NUMBER_INT -> {
        return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
            ? (Object) in.getBigIntegerValue()
            : (Object) in.getLongValue();
      }
      case VALUE_NUMBER_FLOAT -> {
        double number = in.getDoubleValue();
        return Double.isInfinite(number) ? (Object) new Beyond(in.getText()) : (Object) number;
      }
      case VALUE_TRUE -> {
        return true;
      }
      case VALUE_FALSE -> {
        return false;
      }
      default -> {
        return null;
      }
    }
  }

  /** Writes a tree that {@link Fields} was read from. */
  static void writeTree(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      out.writeStartObject();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.writeFieldName((String) entry.getKey());
        writeTree(out, entry.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof List<?> list) {
      out.writeStartArray();
      for (Object element : list) {
        writeTree(out, element);
      }
      out.writeEndArray();
    } else if (value instanceof Long number) {
      out.writeNumber(number);
    } else if (value instanceof java.math.BigInteger number) {
      out.writeNumber(number);
    } else if (value instanceof Double number) {
      out.writeNumber(number);
    } else if (value instanceof Beyond number) {
      out.writeNumber(number.digits());
    } else if (value instanceof Boolean flag) {
      out.writeBoolean(flag);
    } else if (value instanceof String text) {
      out.writeString(text);
    } else {
      out.writeNull();
    }
  }
}
