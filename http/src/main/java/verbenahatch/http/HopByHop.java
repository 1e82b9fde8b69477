package verbenahatch.http;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Identifies header fields that apply to a single connection and must not be forwarded. */
public final class HopByHop {

  private static final Set<String> HOP_BY_HOP_NAMES =
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
   * Returns whether a header field must be removed before the message is forwarded.
   *
   * @param lowerCaseName the name of the field in lower case
   * @param connectionOptions the names in lower case that the message's Connection field lists
   * @return true if the field applies to the connection only
   */
  public static boolean isHopByHop(String lowerCaseName, Set<String> connectionOptions) {
    return HOP_BY_HOP_NAMES.contains(lowerCaseName) || connectionOptions.contains(lowerCaseName);
  }

  /**
   * Returns the field names that the Connection field of a message lists.
   *
   * @param fields the header fields of the message
   * @return the names in lower case, empty if there is no Connection field
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
