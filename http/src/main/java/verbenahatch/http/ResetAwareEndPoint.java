package verbenahatch.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * Reports the end of input only if the peer has ended the connection in order.
 *
 * <p>The library treats a reset, and a close by this side, as the end of input, so that a truncated
 * response without a declared length would look complete.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

  private final Object writeLock = new Object();
  private @Nullable IOException writeFailure;
  private volatile boolean inputEnded;

  /**
   * Creates an endpoint.
   *
   * @param selector the selector that reports input, null if the user polls
   * @param key the registration at the selector, null without one
   */
  ResetAwareEndPoint(
      SocketChannel channel,
      @Nullable ManagedSelector selector,
      @Nullable SelectionKey key,
      Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (inputEnded) {
      return -1;
    }
    if (!isOpen()) {
      throw new ClosedChannelException();
    }
    int position = BufferUtil.flipToFill(buffer);
    try {
      int filled = getChannel().read(buffer);
      if (filled > 0) {
        notIdle();
      } else if (filled < 0) {
        requireNoFailedWrite();
        inputEnded = true;
        shutdownInput();
      }
      return filled;
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
  }

  /**
   * Fails if a write has failed.
   *
   * <p>The system reports a reset to the first call that meets it. If that is a write, the next
   * read returns the end of input, which then can't be told from an orderly one.
   */
  private void requireNoFailedWrite() throws IOException {
    // The lock covers the time from the system call of a write to the record of its failure.
    synchronized (writeLock) {
      if (writeFailure != null) {
        throw new IOException("connection broke during a write", writeFailure);
      }
    }
  }

  /** Returns whether a write has failed, after which the connection must not be reused. */
  boolean hasFailedWrite() {
    synchronized (writeLock) {
      return writeFailure != null;
    }
  }

  /**
   * Writes bytes, or discards them if the peer takes no more.
   *
   * <p>A peer may respond and close the connection before it has read a request. A failed write
   * would end the exchange before that response is read, so the reader decides instead: it finds
   * the response, or fails at the end of input.
   */
  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    synchronized (writeLock) {
      if (writeFailure == null) {
        try {
          return super.flush(buffers);
        } catch (IOException e) {
          writeFailure = e;
        }
      }
      if (!getChannel().isOpen()) {
        throw writeFailure;
      }
    }
    for (ByteBuffer buffer : buffers) {
      buffer.position(buffer.limit());
    }
    return true;
  }
}
