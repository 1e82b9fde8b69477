package verbenahatch.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/** Decides which header fields pass between a caller and a target. */
final class HeaderRules {

  /** Fields that describe one connection and not the message. */
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings");

  /** Fields that the client library writes itself; Expect is answered by the server library. */
  private static final Set<String> WRITTEN_BY_CLIENT = Set.of("host", "content-length", "expect");

  private HeaderRules() {}

  /** Copies the fields of a request that a target may see. */
  static void copyRequest(HttpFields from, HttpFields.Mutable to, @Nullable String key) {
    Set<String> nominated = nominated(from);
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (isDropped(name, nominated) || WRITTEN_BY_CLIENT.contains(name)) {
        continue;
      }
      if (HeaderNames.isOwn(name) && !HeaderNames.SUBMISSION.equalsIgnoreCase(name)) {
        continue;
      }
      if (field.getHeader() == HttpHeader.COOKIE && field.getValue() != null) {
        String cookies = KeyStripper.stripCookies(field.getValue(), key);
        if (cookies != null) {
          to.add(HttpHeader.COOKIE, cookies);
        }
      } else if (!KeyStripper.carriesKey(field, key)) {
        to.add(field);
      }
    }
  }

  /** Copies the fields of an answer that a caller may see. */
  static void copyResponse(HttpFields from, HttpFields.Mutable to) {
    Set<String> nominated = nominated(from);
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (!isDropped(name, nominated) && !HeaderNames.isOwn(name)) {
        to.add(field);
      }
    }
  }

  /** Keeps the trailer fields that a target may see. */
  static HttpFields trailers(HttpFields from, @Nullable String key) {
    HttpFields.Mutable kept = HttpFields.build();
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (!HOP_BY_HOP.contains(name)
          && !WRITTEN_BY_CLIENT.contains(name)
          && !HeaderNames.isOwn(name)
          && field.getHeader() != HttpHeader.AUTHORIZATION
          && !KeyStripper.carriesKey(field, key)) {
        kept.add(field);
      }
    }
    return kept;
  }

  private static boolean isDropped(String name, Set<String> nominated) {
    return HOP_BY_HOP.contains(name) || nominated.contains(name);
  }

  private static Set<String> nominated(HttpFields fields) {
    List<String> values = fields.getCSV(HttpHeader.CONNECTION, false);
    if (values.isEmpty()) {
      return Set.of();
    }
    Set<String> names = new HashSet<>();
    for (String value : values) {
      names.add(value.toLowerCase(Locale.ROOT));
    }
    return names;
  }
}
