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
 * Finds the key that a caller presents and removes every key from what goes to a target.
 *
 * <p>A key is removed wherever it is repeated, plain, percent-encoded or inside Basic credentials,
 * and so is any other text with the form of a key.
 */
public final class KeyStripper {

  /** Shorter texts after the prefix are not keys; issued keys have 43 characters. */
  private static final Pattern KEY = Pattern.compile("vh_[A-Za-z0-9_-]{16,}");

  private static final String BEARER = "bearer ";
  private static final String BASIC = "basic ";

  /** Percent-encoding can be nested; two rounds reveal a key that a target decodes twice. */
  private static final int DECODE_ROUNDS = 2;

  private KeyStripper() {}

  /** Tells what keys a request presents. */
  public sealed interface Presented {

    /**
     * One key, or none.
     *
     * @param key the key, null if there is none
     */
    record Key(@Nullable String key) implements Presented {}

    /** Two different keys. */
    record Ambiguous() implements Presented {}
  }

  /**
   * Finds the key in {@code Authorization: Bearer} or {@code Verbenahatch-Key}.
   *
   * @param headers the caller's headers
   * @return the key, or that there are two
   */
  public static Presented find(HttpFields headers) {
    String found = null;
    for (HttpField field : headers) {
      String candidate = presentedBy(field);
      if (candidate == null) {
        continue;
      }
      if (found != null && !found.equals(candidate)) {
        return new Presented.Ambiguous();
      }
      found = candidate;
    }
    return new Presented.Key(found);
  }

  private static @Nullable String presentedBy(HttpField field) {
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
   * Tells whether text carries a key.
   *
   * @param text the text, null counts as empty
   * @param key the key presented, null if there is none
   * @return true if the text carries that key or any text with the form of a key
   */
  public static boolean carriesKey(@Nullable String text, @Nullable String key) {
    if (text == null || text.isEmpty()) {
      return false;
    }
    String current = text;
    for (int round = 0; round <= DECODE_ROUNDS; round++) {
      if (KEY.matcher(current).find() || (isSearchable(key) && current.contains(key))) {
        return true;
      }
      String decoded = decode(current);
      if (decoded.equals(current)) {
        return false;
      }
      current = decoded;
    }
    return false;
  }

  /**
   * Tells whether a header or trailer field carries a key.
   *
   * @param field the field
   * @param key the key presented, null if there is none
   * @return true if its name or value carries one
   */
  public static boolean carriesKey(HttpField field, @Nullable String key) {
    String value = field.getValue();
    if (HeaderNames.KEY.equalsIgnoreCase(field.getName())
        || carriesKey(field.getName(), key)
        || carriesKey(value, key)) {
      return true;
    }
    if (value == null || !value.toLowerCase(Locale.ROOT).startsWith(BASIC)) {
      return false;
    }
    try {
      byte[] credentials = Base64.getDecoder().decode(value.substring(BASIC.length()).trim());
      return carriesKey(new String(credentials, StandardCharsets.ISO_8859_1), key);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static boolean isSearchable(@Nullable String key) {
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
   * Removes the parameters that carry a key from a query.
   *
   * @param query the raw query, null if there is none
   * @param key the key presented, null if there is none
   * @return the rest, null if nothing is left
   */
  public static @Nullable String stripQuery(@Nullable String query, @Nullable String key) {
    if (query == null || !carriesKey(query, key)) {
      return query;
    }
    List<String> kept = new ArrayList<>();
    for (String parameter : query.split("&", -1)) {
      if (!carriesKey(parameter, key)) {
        kept.add(parameter);
      }
    }
    String rest = String.join("&", kept);
    // A key can also be spread over a separator, so the whole is checked again.
    return kept.isEmpty() || carriesKey(rest, key) ? null : rest;
  }

  /**
   * Removes the cookies that carry a key from a cookie header.
   *
   * @param value the value of the header
   * @param key the key presented, null if there is none
   * @return the other cookies, null if none is left
   */
  public static @Nullable String stripCookies(String value, @Nullable String key) {
    List<String> kept = new ArrayList<>();
    for (String cookie : value.split(";", -1)) {
      if (!carriesKey(cookie, key)) {
        kept.add(cookie.trim());
      }
    }
    String rest = String.join("; ", kept);
    return rest.isEmpty() || carriesKey(rest, key) ? null : rest;
  }

  /**
   * Replaces keys in text for a log.
   *
   * @param text the text
   * @return the text with each key replaced by {@code vh_*}
   */
  public static String mask(String text) {
    Matcher matcher = KEY.matcher(text);
    return matcher.replaceAll("vh_*");
  }
}
