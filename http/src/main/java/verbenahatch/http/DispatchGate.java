package verbenahatch.http;

import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.util.Attributes;
import org.jspecify.annotations.Nullable;

/**
 * Decides for one connection whether its next request is dispatched or the connection is timed out.
 *
 * <p>The thread that reads from a connection and the one that checks timeouts run independently, so
 * the state of the parser does not show whether a request is about to be dispatched. Exactly one of
 * the two succeeds here. Thread-safe.
 */
public final class DispatchGate {

  private static final String ATTRIBUTE = DispatchGate.class.getName();

  private static final long TIMED_OUT = -1;

  private final AtomicLong dispatched = new AtomicLong();

  /** Creates a gate through which no request has been dispatched. */
  public DispatchGate() {}

  /**
   * Attaches this gate to a connection.
   *
   * @param connection the connection, not null
   */
  void attach(Attributes connection) {
    connection.setAttribute(ATTRIBUTE, this);
  }

  /**
   * Returns the gate of a connection.
   *
   * @param connection the connection, not null
   * @return the gate, null if {@link WatchedConnectionFactory} did not create the connection
   */
  public static @Nullable DispatchGate of(Attributes connection) {
    return connection.getAttribute(ATTRIBUTE) instanceof DispatchGate gate ? gate : null;
  }

  /**
   * Returns the number of requests that were dispatched.
   *
   * @return the number, negative if the connection was timed out
   */
  public long dispatched() {
    return dispatched.get();
  }

  /**
   * Claims the next request for its handler.
   *
   * @return false if the connection was timed out, so that the request must not run
   */
  public boolean tryDispatch() {
    return dispatched.getAndUpdate(count -> count == TIMED_OUT ? TIMED_OUT : count + 1)
        != TIMED_OUT;
  }

  /**
   * Times the connection out unless a further request was dispatched.
   *
   * @param expectedDispatched the number of dispatched requests at which the timeout was determined
   * @return true if no further request of the connection will be dispatched
   */
  public boolean tryTimeOut(long expectedDispatched) {
    return expectedDispatched != TIMED_OUT
        && dispatched.compareAndSet(expectedDispatched, TIMED_OUT);
  }
}
