package verbenahatch.gateway;

import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.HopByHop;

/** Rules for the header and trailer fields that are forwarded between a caller and a target. */
final class HeaderRules {

  /** Fields that the client library writes itself; the server library handles Expect. */
  private static final Set<String> WRITTEN_BY_CLIENT = Set.of("host", "content-length", "expect");

  private HeaderRules() {}

  /**
   * Copies the fields of a request that a target may receive.
   *
   * @param key the key presented, which is removed; null if there is none
   */
  static void copyRequest(HttpFields from, HttpFields.Mutable to, @Nullable String key) {
    Set<String> connectionOptions = HopByHop.connectionOptions(from);
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (HopByHop.isHopByHop(name, connectionOptions) || WRITTEN_BY_CLIENT.contains(name)) {
        continue;
      }
      if (HeaderNames.isReserved(name) && !HeaderNames.SUBMISSION.equalsIgnoreCase(name)) {
        continue;
      }
      if (field.getHeader() == HttpHeader.COOKIE && field.getValue() != null) {
        String cookies = KeyStripper.stripCookies(field.getValue(), key);
        if (cookies != null) {
          to.add(HttpHeader.COOKIE, cookies);
        }
      } else if (!KeyStripper.containsKey(field, key)) {
        to.add(field);
      }
    }
  }

  /** Copies the fields of a response that a caller may receive. */
  static void copyResponse(HttpFields from, HttpFields.Mutable to) {
    Set<String> connectionOptions = HopByHop.connectionOptions(from);
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (!HopByHop.isHopByHop(name, connectionOptions) && !HeaderNames.isReserved(name)) {
        to.add(field);
      }
    }
  }

  /**
   * Returns the trailer fields of a request that a target may receive.
   *
   * @param key the key presented, which is removed; null if there is none
   */
  static HttpFields filterTrailers(HttpFields from, @Nullable String key) {
    HttpFields.Mutable forwarded = HttpFields.build();
    for (HttpField field : from) {
      String name = field.getLowerCaseName();
      if (!HopByHop.isHopByHop(name, Set.of())
          && !WRITTEN_BY_CLIENT.contains(name)
          && !HeaderNames.isReserved(name)
          && field.getHeader() != HttpHeader.AUTHORIZATION
          && !KeyStripper.containsKey(field, key)) {
        forwarded.add(field);
      }
    }
    return forwarded;
  }
}
