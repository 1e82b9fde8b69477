package verbenahatch.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
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
      wrapped.fillInterested(callback);
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
    if (hasStoredBytes()) {
      executor.execute(callback::succeeded);
      return true;
    }
    return wrapped.tryFillInterested(callback);
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
