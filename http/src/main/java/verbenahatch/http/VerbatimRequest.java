package verbenahatch.http;

import java.net.URI;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * A request whose path and query are sent exactly as given.
 *
 * <p>The library parses the path of its own requests as a URI reference, so a path that begins with
 * two slashes would lose its first segment as an authority.
 */
public final class VerbatimRequest extends HttpRequest {

  private final String path;
  private final @Nullable String query;

  private VerbatimRequest(HttpClient client, URI server, String path, @Nullable String query) {
    super(client, new HttpConversation(), server);
    this.path = path;
    this.query = query;
  }

  /**
   * Creates a request.
   *
   * @param client the client that sends it, not null
   * @param address the IP address of the server
   * @param port the TCP port of the server
   * @param pathAndQuery the path, followed by a question mark and the query if there is one
   * @return the request, with the method GET
   * @throws IllegalArgumentException if the address or the port is invalid
   */
  public static Request create(HttpClient client, String address, int port, String pathAndQuery) {
    int mark = pathAndQuery.indexOf('?');
    String path = mark < 0 ? pathAndQuery : pathAndQuery.substring(0, mark);
    String query = mark < 0 ? null : pathAndQuery.substring(mark + 1);
    URI server = URI.create("http://" + address + ":" + port);
    return new VerbatimRequest(client, server, path, query);
  }

  @Override
  public String getPath() {
    return path;
  }

  @Override
  public @Nullable String getQuery() {
    return query;
  }
}
