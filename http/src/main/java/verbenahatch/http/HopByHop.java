package verbenahatch.http;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Tells which header fields concern one connection and not the message. */
public final class HopByHop {

  private static final Set<String> NAMES =
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

  private HopByHop() {}

  /**
   * Tells whether a field stays behind when the message is passed on.
   *
   * @param lowerCaseName the name of the field in lower case
   * @param nominated the names that the message's own Connection field lists
   * @return true for a field of the connection
   */
  public static boolean isHopByHop(String lowerCaseName, Set<String> nominated) {
    return NAMES.contains(lowerCaseName) || nominated.contains(lowerCaseName);
  }

  /**
   * Returns the names that the Connection field lists.
   *
   * @param fields the header fields of a message
   * @return the names in lower case, possibly none
   */
  public static Set<String> connectionOptions(HttpFields fields) {
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
