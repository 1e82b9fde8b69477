package verbenahatch.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Lets a watch read from a connection ahead of the server, which receives the bytes later.
 *
 * <p>A caller may send further requests before the first one is answered. While the server does not
 * read, the watch stores those bytes here up to a bound, so that it also sees the close behind
 * them.
 */
final class ReadAheadEndPoint implements EndPoint, EndPoint.Wrapper {

  /** Bytes that are stored for the server; more stay in the socket, which slows the caller down. */
  static final int MAX_AHEAD_BYTES = 16 * 1024;

  /** Size of one read. */
  private static final int READ_BYTES = 2 * 1024;

  private final EndPoint wrapped;
  private final Executor executor;
  private @Nullable ByteBuffer ahead;
  private volatile @Nullable ServerInterest interest;

  /**
   * Wraps an endpoint.
   *
   * @param wrapped the endpoint of the socket
   * @param executor runs callbacks of the server for which stored bytes are ready
   */
  ReadAheadEndPoint(EndPoint wrapped, Executor executor) {
    this.wrapped = wrapped;
    this.executor = executor;
  }

  /**
   * Passes on the server's wait for input, unless {@link #closeIfIdle} has ended it.
   *
   * <p>Input and the close of an idle connection may come at the same time; only the one that
   * claims the wait reaches the server.
   */
  private static final class ServerInterest implements Callback {

    private final Callback server;
    private final AtomicBoolean claimed = new AtomicBoolean();

    ServerInterest(Callback server) {
      this.server = server;
    }

    boolean claim() {
      return claimed.compareAndSet(false, true);
    }

    @Override
    public void succeeded() {
      if (claim()) {
        server.succeeded();
      }
    }

    @Override
    public void failed(Throwable cause) {
      if (claim()) {
        server.failed(cause);
      }
    }

    @Override
    public InvocationType getInvocationType() {
      return server.getInvocationType();
    }
  }

  /** Describes the result of {@link #readAhead}. */
  enum ReadResult {
    /** There is no further input at present. */
    WAITING,
    /** The caller has closed the connection. */
    CLOSED,
    /** The bound is reached. */
    FULL
  }

  /**
   * Reads what the caller has sent and stores it for the server.
   *
   * @return why reading ended
   * @throws IOException if the connection is broken
   */
  synchronized ReadResult readAhead() throws IOException {
    while (storedBytes() < MAX_AHEAD_BYTES) {
      ByteBuffer read = BufferUtil.allocate(READ_BYTES);
      int count = wrapped.fill(read);
      if (count < 0) {
        return ReadResult.CLOSED;
      }
      if (count == 0) {
        return ReadResult.WAITING;
      }
      store(read);
    }
    return ReadResult.FULL;
  }

  private int storedBytes() {
    return ahead == null ? 0 : ahead.remaining();
  }

  private void store(ByteBuffer read) {
    ByteBuffer joined = BufferUtil.allocate(storedBytes() + read.remaining());
    if (ahead != null) {
      BufferUtil.append(joined, ahead);
    }
    BufferUtil.append(joined, read);
    ahead = joined;
  }

  private synchronized boolean hasStoredBytes() {
    return storedBytes() > 0;
  }

  /**
   * Closes the connection in order if the server waits for a request of which nothing arrived.
   *
   * <p>Input that has arrived is given to the server instead. After the close the server reads and
   * discards what the caller still sends, until the caller closes the connection too.
   *
   * @param betweenRequests returns whether the server has read nothing of a next request
   * @return whether the connection was closed for output
   */
  boolean closeIfIdle(BooleanSupplier betweenRequests) {
    ServerInterest current = interest;
    if (current == null || current.claimed.get() || !betweenRequests.getAsBoolean()) {
      return false;
    }
    if (hasInput()) {
      if (wrapped instanceof AbstractEndPoint abstractEndPoint) {
        abstractEndPoint.getFillInterest().fillable();
      }
      return false;
    }
    if (!current.claim()) {
      return false;
    }
    IOException cause = new IOException("the host stops");
    cancelAwait(cause);
    current.server.failed(cause);
    return true;
  }

  private boolean hasInput() {
    try {
      return readAhead() != ReadResult.WAITING || hasStoredBytes();
    } catch (IOException e) {
      // The server detects the broken connection when it reads.
      return true;
    }
  }

  /** Registers a callback for input of the socket, regardless of stored bytes. */
  boolean awaitInput(Callback callback) {
    return wrapped.tryFillInterested(callback);
  }

  /** Removes the callback registered by {@link #awaitInput}, which is called as failed. */
  void cancelAwait(IOException cause) {
    if (wrapped instanceof AbstractEndPoint abstractEndPoint) {
      abstractEndPoint.getFillInterest().onFail(cause);
    }
  }

  @Override
  public EndPoint unwrap() {
    return wrapped;
  }

  @Override
  public synchronized int fill(ByteBuffer buffer) throws IOException {
    if (storedBytes() == 0) {
      return wrapped.fill(buffer);
    }
    ByteBuffer stored = ahead;
    int position = BufferUtil.flipToFill(buffer);
    int count = BufferUtil.put(stored, buffer);
    BufferUtil.flipToFlush(buffer, position);
    if (storedBytes() == 0) {
      ahead = null;
    }
    return count;
  }

  @Override
  public void fillInterested(Callback callback) {
    if (hasStoredBytes()) {
      executor.execute(callback::succeeded);
    } else {
      ServerInterest registered = new ServerInterest(callback);
      interest = registered;
      wrapped.fillInterested(registered);
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
    if (hasStoredBytes()) {
      executor.execute(callback::succeeded);
      return true;
    }
    ServerInterest previous = interest;
    ServerInterest registered = new ServerInterest(callback);
    interest = registered;
    if (wrapped.tryFillInterested(registered)) {
      return true;
    }
    interest = previous;
    return false;
  }

  @Override
  public boolean isFillInterested() {
    return wrapped.isFillInterested();
  }

  @Override
  public boolean isInputShutdown() {
    return !hasStoredBytes() && wrapped.isInputShutdown();
  }

  @Override
  public SocketAddress getLocalSocketAddress() {
    return wrapped.getLocalSocketAddress();
  }

  @Override
  public SocketAddress getRemoteSocketAddress() {
    return wrapped.getRemoteSocketAddress();
  }

  @Override
  public boolean isOpen() {
    return wrapped.isOpen();
  }

  @Override
  public long getCreatedTimeStamp() {
    return wrapped.getCreatedTimeStamp();
  }

  @Override
  public void shutdownOutput() {
    wrapped.shutdownOutput();
  }

  @Override
  public boolean isOutputShutdown() {
    return wrapped.isOutputShutdown();
  }

  @Override
  public void close(Throwable cause) {
    wrapped.close(cause);
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    return wrapped.flush(buffers);
  }

  @Override
  public Object getTransport() {
    return wrapped.getTransport();
  }

  @Override
  public long getIdleTimeout() {
    return wrapped.getIdleTimeout();
  }

  @Override
  public void setIdleTimeout(long idleTimeout) {
    wrapped.setIdleTimeout(idleTimeout);
  }

  @Override
  public void write(Callback callback, ByteBuffer... buffers) {
    wrapped.write(callback, buffers);
  }

  @Override
  public Callback cancelWrite(Throwable cause) {
    return wrapped.cancelWrite(cause);
  }

  @Override
  public Connection getConnection() {
    return wrapped.getConnection();
  }

  @Override
  public void setConnection(Connection connection) {
    wrapped.setConnection(connection);
  }

  @Override
  public void onOpen() {
    wrapped.onOpen();
  }

  @Override
  public void onClose(Throwable cause) {
    wrapped.onClose(cause);
  }

  @Override
  public void upgrade(Connection newConnection) {
    wrapped.upgrade(newConnection);
  }
}
