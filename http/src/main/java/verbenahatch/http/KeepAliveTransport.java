package verbenahatch.http;

import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;

/** Sends HTTP/1.1 over the connections of a connector and reuses none after a failed write. */
public final class KeepAliveTransport extends HttpClientTransportOverHTTP {

  /**
   * Creates a transport.
   *
   * @param connector opens the connections
   */
  public KeepAliveTransport(KeepAliveConnector connector) {
    super(connector);
    setConnectionPoolFactory(
        destination ->
            new IntactConnectionPool(
                destination, getHttpClient().getMaxConnectionsPerDestination()));
  }

  /** Has a connection closed on release if a write on it has failed. */
  private static final class IntactConnectionPool extends DuplexConnectionPool {

    IntactConnectionPool(Destination destination, int maxConnections) {
      super(destination, maxConnections);
    }

    @Override
    public boolean release(Connection connection) {
      boolean broken =
          connection instanceof org.eclipse.jetty.io.Connection transport
              && transport.getEndPoint() instanceof ResetAwareEndPoint endPoint
              && endPoint.hasFailedWrite();
      return !broken && super.release(connection);
    }
  }
}
