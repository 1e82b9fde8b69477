package verbenahatch.kernel;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/**
 * Reads and writes JSON with comments.
 *
 * <p>Comments and trailing commas are allowed. Unknown properties, duplicate properties and text
 * after the value are rejected, so that a mistyped setting is never ignored.
 */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
          .build();

  private Json() {}

  /**
   * Reads a value from UTF-8 text.
   *
   * @param <T> the type of the value
   * @param text the text, not null
   * @param type the type of the value
   * @return the value
   * @throws JsonException if the text is not valid JSON or does not fit the type
   */
  public static <T> T read(byte[] text, Class<T> type) throws JsonException {
    try {
      return MAPPER.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new JsonException(describe(e), e);
    } catch (IOException e) {
      throw new JsonException(String.valueOf(e.getMessage()), e);
    }
  }

  /**
   * Reads a JSON tree from UTF-8 text.
   *
   * @param text the text, not null
   * @return the root of the tree
   * @throws JsonException if the text is not valid JSON
   */
  public static JsonNode readTree(byte[] text) throws JsonException {
    return read(text, JsonNode.class);
  }

  /**
   * Writes a value as compact UTF-8 text.
   *
   * @param value the value, not null
   * @return the text
   * @throws IllegalArgumentException if the value cannot be written as JSON
   */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /**
   * Writes a value as indented text.
   *
   * @param value the value, not null
   * @return the text
   * @throws IllegalArgumentException if the value cannot be written as JSON
   */
  public static String writePretty(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static String describe(JsonProcessingException e) {
    if (e.getLocation() == null) {
      return e.getOriginalMessage();
    }
    return "line "
        + e.getLocation().getLineNr()
        + ", column "
        + e.getLocation().getColumnNr()
        + ": "
        + e.getOriginalMessage();
  }
}
