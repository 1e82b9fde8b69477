package verbenahatch.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Maps the addresses of one /8 to sites.
 *
 * <p>Stores each range of addresses of the same site by its start, in ascending order: two bytes of
 * start and one byte of site for each range, and an index by the second octet. Immutable.
 */
final class BlockChunk {

  static final BlockChunk EMPTY = build(List.of());

  private static final int BUCKETS = 256;
  private static final int BUCKET_BITS = 16;
  private static final int BUCKET_SIZE = 1 << BUCKET_BITS;
  private static final int CHUNK_SIZE = BUCKETS * BUCKET_SIZE;

  private final int[] offsets;
  private final byte[] firstSites;
  private final char[] starts;
  private final byte[] sites;

  private BlockChunk(int[] offsets, byte[] firstSites, char[] starts, byte[] sites) {
    this.offsets = offsets;
    this.firstSites = firstSites;
    this.starts = starts;
    this.sites = sites;
  }

  /**
   * Builds a chunk.
   *
   * @param blocks blocks in order of prefix length, so that a longer prefix overrides a shorter
   *     one; the first octet is ignored
   * @return the chunk
   */
  static BlockChunk build(List<Block> blocks) {
    TreeMap<Integer, Integer> ranges = new TreeMap<>();
    ranges.put(0, 0);
    for (Block block : blocks) {
      assign(ranges, block);
    }
    return pack(ranges);
  }

  /**
   * Returns a chunk with the given blocks reassigned; other addresses keep their site.
   *
   * @param blocks the blocks in order; a later one overrides an earlier one
   * @return a new chunk
   */
  BlockChunk with(List<Block> blocks) {
    TreeMap<Integer, Integer> ranges = unpack();
    for (Block block : blocks) {
      assign(ranges, block);
    }
    return pack(ranges);
  }

  int siteOf(int address) {
    int bucket = address >>> BUCKET_BITS & (BUCKETS - 1);
    int low = offsets[bucket];
    int high = offsets[bucket + 1] - 1;
    int offsetInBucket = address & (BUCKET_SIZE - 1);
    int firstIndex = low;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      if (starts[middle] <= offsetInBucket) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    return Byte.toUnsignedInt(high < firstIndex ? firstSites[bucket] : sites[high]);
  }

  /**
   * Returns the size of the arrays.
   *
   * @return the size in bytes, without object headers
   */
  long bytes() {
    return (long) offsets.length * Integer.BYTES
        + firstSites.length
        + (long) starts.length * Character.BYTES
        + sites.length;
  }

  private static void assign(TreeMap<Integer, Integer> ranges, Block block) {
    int start = block.bits() < Byte.SIZE ? 0 : block.address() & (CHUNK_SIZE - 1);
    int end =
        (block.bits() < Byte.SIZE ? CHUNK_SIZE - 1 : block.lastAddress() & (CHUNK_SIZE - 1)) + 1;
    if (end < CHUNK_SIZE) {
      ranges.putIfAbsent(end, ranges.floorEntry(end).getValue());
    }
    ranges.subMap(start, end).clear();
    ranges.put(start, block.site());
  }

  private TreeMap<Integer, Integer> unpack() {
    TreeMap<Integer, Integer> ranges = new TreeMap<>();
    for (int bucket = 0; bucket < BUCKETS; bucket++) {
      ranges.put(bucket << BUCKET_BITS, Byte.toUnsignedInt(firstSites[bucket]));
      for (int i = offsets[bucket]; i < offsets[bucket + 1]; i++) {
        ranges.put(bucket << BUCKET_BITS | starts[i], Byte.toUnsignedInt(sites[i]));
      }
    }
    return ranges;
  }

  private static BlockChunk pack(TreeMap<Integer, Integer> ranges) {
    int[] offsets = new int[BUCKETS + 1];
    byte[] firstSites = new byte[BUCKETS];
    char[] starts = new char[ranges.size()];
    byte[] sites = new byte[ranges.size()];
    int count = 0;
    int bucket = 0;
    int site = 0;
    for (Map.Entry<Integer, Integer> range : ranges.entrySet()) {
      for (; bucket <= range.getKey() >>> BUCKET_BITS; bucket++) {
        offsets[bucket] = count;
        firstSites[bucket] = (byte) site;
      }
      if (range.getValue() == site) {
        continue;
      }
      site = range.getValue();
      if ((range.getKey() & (BUCKET_SIZE - 1)) == 0) {
        firstSites[bucket - 1] = (byte) site;
        continue;
      }
      starts[count] = (char) (range.getKey() & (BUCKET_SIZE - 1));
      sites[count] = (byte) site;
      count++;
    }
    for (; bucket <= BUCKETS; bucket++) {
      offsets[bucket] = count;
      if (bucket < BUCKETS) {
        firstSites[bucket] = (byte) site;
      }
    }
    return new BlockChunk(
        offsets, firstSites, Arrays.copyOf(starts, count), Arrays.copyOf(sites, count));
  }
}
