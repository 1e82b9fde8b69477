package verbenahatch.http;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.ProtocolHandler;
import org.eclipse.jetty.client.ProtocolHandlers;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;

/**
 * Skips the interim responses of a target to one request, up to a number.
 *
 * <p>A further one is passed on like a final response, which ends the attempt: the library keeps
 * data for each that it skips, and a faulty target may send them without end.
 */
public final class InterimResponses implements ProtocolHandler {

  /** More than servers send; early hints may be sent more than once. */
  private static final int MAX_SKIPPED = 8;

  private static final String SKIPPED = InterimResponses.class.getName();

  private final ProtocolHandler handler;

  private InterimResponses(ProtocolHandler handler) {
    this.handler = handler;
  }

  /**
   * Replaces the protocol handlers of a client, among them those of redirects and authentication.
   *
   * <p>Without any handler an interim response would count as the final one.
   *
   * @param client a client that is started
   */
  public static void replaceHandlers(HttpClient client) {
    ProtocolHandlers handlers = client.getProtocolHandlers();
    handlers.clear();
    handlers.put(new InterimResponses(new ContinueProtocolHandler()));
    handlers.put(new InterimResponses(new ProcessingProtocolHandler()));
    handlers.put(new InterimResponses(new EarlyHintsProtocolHandler()));
  }

  @Override
  public String getName() {
    return handler.getName();
  }

  @Override
  public boolean accept(Request request, Response response) {
    if (!handler.accept(request, response)) {
      return false;
    }
    int skipped = request.getAttributes().get(SKIPPED) instanceof Integer count ? count : 0;
    request.attribute(SKIPPED, skipped + 1);
    return skipped < MAX_SKIPPED;
  }

  @Override
  public Response.Listener getResponseListener() {
    return handler.getResponseListener();
  }
}
