package verbenahatch.gateway;

import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.HopByHop;

/** Decides which header fields pass between a caller and a target. */
final class HeaderRules {

  /** Fields that the client library writes itself; Expect is answered by the server library. */
  private static final Set<String> WRITTEN_BY_CLIENT = Set.of("host", "content-length", "expect");

  private HeaderRules() {}

  /** Copies the fields of a request that a target may see. */
  static void copyRequest(HttpFields from, HttpFields.Mutable to, @Nullable String key) {
    Set<String> nominated = HopByHop.connectionOptions(from);
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (HopByHop.isHopByHop(name, nominated) || WRITTEN_BY_CLIENT.contains(name)) {
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
    Set<String> nominated = HopByHop.connectionOptions(from);
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (!HopByHop.isHopByHop(name, nominated) && !HeaderNames.isOwn(name)) {
        to.add(field);
      }
    }
  }

  /** Keeps the trailer fields that a target may see. */
  static HttpFields trailers(HttpFields from, @Nullable String key) {
    HttpFields.Mutable kept = HttpFields.build();
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (!HopByHop.isHopByHop(name, Set.of())
          && !WRITTEN_BY_CLIENT.contains(name)
          && !HeaderNames.isOwn(name)
          && field.getHeader() != HttpHeader.AUTHORIZATION
          && !KeyStripper.carriesKey(field, key)) {
        kept.add(field);
      }
    }
    return kept;
  }
}
