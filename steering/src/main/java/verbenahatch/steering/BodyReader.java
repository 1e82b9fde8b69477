package verbenahatch.steering;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Content;

/**
 * Reads the body of a request into memory that all requests share.
 *
 * <p>Memory is reserved before it is allocated, also for a body whose length is not declared, and
 * the buffers of the library are released at once. Must be used for one body only. Calls of the
 * listener are made by the thread that reads.
 */
final class BodyReader {

  /** Receives the result; exactly one method is called, once. */
  interface Listener {

    /** Called with the complete body. */
    void onRead(byte[] body);

    /** Called if the body could not be read to its end. */
    void onFailure(RefusalReason reason, String detail);
  }

  /** First memory for a body without a declared length, in bytes. */
  private static final int MIN_CAPACITY = 16 * 1024;

  private final Content.Source source;
  private final long declaredLength;
  private final long maxBytes;
  private final long maxMemory;
  private final AtomicLong memory;
  private final Listener listener;
  private byte[] bytes = new byte[0];
  private int length;
  private long reserved;

  /**
   * Creates a reader.
   *
   * @param source the body
   * @param declaredLength the length that the caller declared in bytes, negative if it declared
   *     none
   * @param maxBytes the longest body that is allowed, in bytes
   * @param memory the bytes that all requests have reserved
   * @param maxMemory the most bytes that may be reserved
   * @param listener receives the result
   */
  BodyReader(
      Content.Source source,
      long declaredLength,
      long maxBytes,
      AtomicLong memory,
      long maxMemory,
      Listener listener) {
    this.source = source;
    this.declaredLength = declaredLength;
    this.maxBytes = maxBytes;
    this.memory = memory;
    this.maxMemory = maxMemory;
    this.listener = listener;
  }

  /** Starts to read. */
  void start() {
    if (reserve(declaredLength < 0 ? MIN_CAPACITY : declaredLength)) {
      read();
    }
  }

  /** Returns the reserved memory to the other requests; the body must not be used any more. */
  void release() {
    memory.addAndGet(-reserved);
    reserved = 0;
    bytes = new byte[0];
  }

  private void read() {
    while (true) {
      Content.Chunk chunk = source.read();
      if (chunk == null) {
        source.demand(this::read);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        listener.onFailure(RefusalReason.BODY_INCOMPLETE, String.valueOf(chunk.getFailure()));
        return;
      }
      boolean last = chunk.isLast();
      boolean stored = store(chunk);
      chunk.release();
      if (!stored) {
        return;
      }
      if (last) {
        listener.onRead(length == bytes.length ? bytes : Arrays.copyOf(bytes, length));
        return;
      }
    }
  }

  private boolean store(Content.Chunk chunk) {
    int added = chunk.remaining();
    long needed = (long) length + added;
    if (needed > maxBytes) {
      listener.onFailure(RefusalReason.BODY_TOO_LONG, "more than " + maxBytes + " bytes");
      return false;
    }
    if (needed > bytes.length
        && !reserve(Math.min(maxBytes, Math.max(needed, 2L * bytes.length)))) {
      return false;
    }
    chunk.getByteBuffer().get(bytes, length, added);
    length += added;
    return true;
  }

  /** Reserves memory and then allocates it; returns false if all of it is in use. */
  private boolean reserve(long capacity) {
    long additional = capacity - reserved;
    if (memory.addAndGet(additional) > maxMemory) {
      memory.addAndGet(-additional);
      listener.onFailure(RefusalReason.NO_MEMORY, "the memory for request bodies is used up");
      return false;
    }
    reserved = capacity;
    bytes = Arrays.copyOf(bytes, (int) capacity);
    return true;
  }
}
