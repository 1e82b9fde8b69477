package verbenahatch.steering;

import org.eclipse.jetty.client.ProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;

/**
 * Skips the interim responses of a target to one request, up to a number.
 *
 * <p>A further one is passed on like a final response, which ends the attempt: the library keeps
 * data for each that it skips, and a faulty target may send them without end.
 */
final class InterimResponses implements ProtocolHandler {

  /** More than servers send; early hints may be sent more than once. */
  private static final int MAX_SKIPPED = 8;

  private static final String SKIPPED = InterimResponses.class.getName();

  private final ProtocolHandler handler;

  /**
   * Creates a handler.
   *
   * @param handler the handler of the library for one interim status
   */
  InterimResponses(ProtocolHandler handler) {
    this.handler = handler;
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
