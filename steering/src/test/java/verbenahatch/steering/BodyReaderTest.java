package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.AsyncContent;
import org.eclipse.jetty.io.content.ByteBufferContentSource;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against bodies that use more memory than is reserved for them. */
class BodyReaderTest {

  private static final long MAX_BYTES = 64L * 1024 * 1024;

  private static final class Result implements BodyReader.Listener {
    byte @Nullable [] body;
    @Nullable RefusalReason refusal;
    int calls;

    @Override
    public void onRead(byte[] read) {
      body = read;
      calls++;
    }

    @Override
    public void onFailure(RefusalReason reason, String detail) {
      refusal = reason;
      calls++;
    }
  }

  private final AtomicLong memory = new AtomicLong();

  private static ByteBuffer[] parts(byte[] body, int partBytes) {
    List<ByteBuffer> parts = new ArrayList<>();
    for (int start = 0; start < body.length; start += partBytes) {
      parts.add(ByteBuffer.wrap(body, start, Math.min(partBytes, body.length - start)));
    }
    return parts.toArray(new ByteBuffer[0]);
  }

  private BodyReader reader(Content.Source source, long declared, long maxMemory, Result result) {
    return new BodyReader(source, declared, MAX_BYTES, memory, maxMemory, result);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 1, 1",
    "1, -1, 1",
    "16384, -1, 1000",
    "16385, -1, 16385",
    "100000, -1, 7",
    "100000, 100000, 9"
  })
  void readsBodyInParts(int length, long declared, int partBytes) {
    byte[] body = new byte[length];
    new Random(length).nextBytes(body);
    Result result = new Result();
    BodyReader reader =
        reader(new ByteBufferContentSource(parts(body, partBytes)), declared, MAX_BYTES, result);
    reader.start();
    assertEquals(1, result.calls);
    assertArrayEquals(body, result.body);
    assertTrue(memory.get() >= length, "reserved " + memory.get());
    reader.release();
    assertEquals(0, memory.get());
  }

  /**
   * Uploads in chunks reserved 256 KB each, whatever their size, so that 40 of 6 MB at a time took
   * the process out of its memory (review/4).
   */
  @Test
  void uploadsInChunksStayWithinTheirMemory() {
    long maxMemory = 4 * 1024 * 1024;
    List<BodyReader> readers = new ArrayList<>();
    List<AsyncContent> bodies = new ArrayList<>();
    List<Result> results = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      bodies.add(new AsyncContent());
      results.add(new Result());
      readers.add(reader(bodies.get(i), -1, maxMemory, results.get(i)));
      readers.get(i).start();
    }
    for (int part = 0; part < 16; part++) {
      for (int i = 0; i < bodies.size(); i++) {
        if (results.get(i).calls == 0) {
          bodies.get(i).write(part == 15, ByteBuffer.allocate(40_000), Callback.NOOP);
          assertTrue(memory.get() <= maxMemory, "reserved " + memory.get());
        }
        if (results.get(i).refusal != null) {
          readers.get(i).release();
        }
      }
    }
    long served = results.stream().filter(result -> result.body != null).count();
    long refused =
        results.stream().filter(result -> result.refusal == RefusalReason.NO_MEMORY).count();
    assertTrue(served > 0, "none was served");
    assertEquals(results.size(), served + refused);
    readers.forEach(BodyReader::release);
    assertEquals(0, memory.get());
  }

  @ParameterizedTest
  @CsvSource({"2000, -1, 1000, BODY_TOO_LONG", "2000, 2000, 100000, NO_MEMORY"})
  void refusesBodyBeyondLimits(int length, long declared, long maxBytes, RefusalReason expected) {
    Result result = new Result();
    Content.Source source = new ByteBufferContentSource(parts(new byte[length], 500));
    BodyReader reader =
        new BodyReader(source, declared, maxBytes, memory, 1_000 + 16 * 1024, result);
    memory.set(expected == RefusalReason.NO_MEMORY ? 16 * 1024 : 0);
    reader.start();
    assertEquals(expected, result.refusal);
    assertEquals(1, result.calls);
  }
}
