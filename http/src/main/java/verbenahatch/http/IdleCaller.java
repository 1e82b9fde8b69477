package verbenahatch.http;

import java.util.function.BooleanSupplier;
import org.eclipse.jetty.io.Connection;

/** Closes connections of callers on which no request is in progress. */
public final class IdleCaller {

  private IdleCaller() {}

  /**
   * Closes a connection in order if no request is in progress on it and no byte of a next one has
   * arrived.
   *
   * <p>The connection is closed for output first and stays open for input, because closing a socket
   * with unread bytes resets it and may destroy a response that the caller has not read yet.
   *
   * @param connection the connection
   * @param betweenRequests returns whether the server has read nothing of a next request
   * @return whether it was closed for output; false if a request is in progress or no {@link
   *     WatchedConnectionFactory} created the connection
   */
  public static boolean closeIfIdle(Connection connection, BooleanSupplier betweenRequests) {
    return connection.getEndPoint() instanceof ReadAheadEndPoint endPoint
        && endPoint.closeIfIdle(betweenRequests);
  }
}
