package verbenahatch.gateway;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/**
 * Finds the key that a caller presents and removes keys from what is forwarded to a target.
 *
 * <p>A key is removed wherever it occurs: in plain text, percent-encoded or inside Basic
 * credentials. Any other text with the form of a key is removed as well.
 */
public final class KeyStripper {

  /**
   * Form of a key. Text with fewer than 16 characters after the prefix is no key; issued keys have
   * 43.
   */
  private static final Pattern KEY = Pattern.compile("vh_[A-Za-z0-9_-]{16,}");

  private static final String BEARER = "bearer ";
  private static final String BASIC = "basic ";

  /** Percent-encoding can be nested; two passes detect a key that a target decodes twice. */
  private static final int DECODE_PASSES = 2;

  private KeyStripper() {}

  /** The keys that a request presents. */
  public sealed interface Presented {

    /**
     * The request presents one key or none.
     *
     * @param key the key, null if there is none
     */
    record Key(@Nullable String key) implements Presented {}

    /** The request presents two different keys. */
    record Ambiguous() implements Presented {}
  }

  /**
   * Returns the key in {@code Authorization: Bearer} or {@code Verbenahatch-Key}. Another bearer
   * token is not a key.
   *
   * @param headers the header fields of the request
   * @return the key, null in {@link Presented.Key} if there is none; {@link Presented.Ambiguous} if
   *     there are two different ones
   */
  public static Presented find(HttpFields headers) {
    String presented = null;
    for (HttpField field : headers) {
      String fieldKey = keyIn(field);
      if (fieldKey == null) {
        continue;
      }
      if (presented != null && !presented.equals(fieldKey)) {
        return new Presented.Ambiguous();
      }
      presented = fieldKey;
    }
    return new Presented.Key(presented);
  }

  private static @Nullable String keyIn(HttpField field) {
    String value = field.getValue();
    if (value == null) {
      return null;
    }
    if (HeaderNames.KEY.equalsIgnoreCase(field.getName())) {
      return value.trim();
    }
    if (field.getHeader() == HttpHeader.AUTHORIZATION
        && value.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
      String token = value.substring(BEARER.length()).trim();
      return token.startsWith("vh_") ? token : null;
    }
    return null;
  }

  /**
   * Returns whether text contains a key, also if it is percent-encoded once or twice.
   *
   * @param text the text, null is treated as empty
   * @param key the key presented, null if there is none
   * @return true if the text contains that key or any text with the form of a key
   */
  public static boolean containsKey(@Nullable String text, @Nullable String key) {
    if (text == null || text.isEmpty()) {
      return false;
    }
    String decodedText = text;
    for (int pass = 0; pass <= DECODE_PASSES; pass++) {
      if (KEY.matcher(decodedText).find() || (isPresent(key) && decodedText.contains(key))) {
        return true;
      }
      String decoded = decode(decodedText);
      if (decoded.equals(decodedText)) {
        return false;
      }
      decodedText = decoded;
    }
    return false;
  }

  /**
   * Returns whether a header or trailer field contains a key, also inside Basic credentials.
   *
   * @param field the field
   * @param key the key presented, null if there is none
   * @return true if its name or value contains a key, or if it is the {@code Verbenahatch-Key}
   *     field
   */
  public static boolean containsKey(HttpField field, @Nullable String key) {
    String value = field.getValue();
    if (HeaderNames.KEY.equalsIgnoreCase(field.getName())
        || containsKey(field.getName(), key)
        || containsKey(value, key)) {
      return true;
    }
    if (value == null || !value.toLowerCase(Locale.ROOT).startsWith(BASIC)) {
      return false;
    }
    try {
      byte[] credentials = Base64.getDecoder().decode(value.substring(BASIC.length()).trim());
      return containsKey(new String(credentials, StandardCharsets.ISO_8859_1), key);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static boolean isPresent(@Nullable String key) {
    return key != null && !key.isEmpty();
  }

  private static String decode(String text) {
    if (text.indexOf('%') < 0) {
      return text;
    }
    try {
      return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.ISO_8859_1);
    } catch (IllegalArgumentException e) {
      return text;
    }
  }

  /**
   * Removes the parameters that contain a key from a query.
   *
   * @param query the raw query, null if there is none
   * @param key the key presented, null if there is none
   * @return the other parameters, null if there are none
   */
  public static @Nullable String stripQuery(@Nullable String query, @Nullable String key) {
    if (query == null || !containsKey(query, key)) {
      return query;
    }
    List<String> kept = new ArrayList<>();
    for (String parameter : query.split("&", -1)) {
      if (!containsKey(parameter, key)) {
        kept.add(parameter);
      }
    }
    String rest = String.join("&", kept);
    // A key can also extend across a separator, so the joined text is checked again.
    return kept.isEmpty() || containsKey(rest, key) ? null : rest;
  }

  /**
   * Removes the cookies that contain a key from a cookie header.
   *
   * @param value the value of the cookie header
   * @param key the key presented, null if there is none
   * @return the other cookies, null if there are none
   */
  public static @Nullable String stripCookies(String value, @Nullable String key) {
    List<String> kept = new ArrayList<>();
    for (String cookie : value.split(";", -1)) {
      if (!containsKey(cookie, key)) {
        kept.add(cookie.trim());
      }
    }
    String rest = String.join("; ", kept);
    return rest.isEmpty() || containsKey(rest, key) ? null : rest;
  }

  /**
   * Masks keys in text that is logged.
   *
   * @param text the text
   * @return the text with each key replaced by {@code vh_*}
   */
  public static String mask(String text) {
    Matcher matcher = KEY.matcher(text);
    return matcher.replaceAll("vh_*");
  }
}
