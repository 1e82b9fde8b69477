package verbenahatch.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Finds the site of a caller by its IPv4 address.
 *
 * <p>A longer prefix overrides a shorter one. Immutable: a change gives a new table that shares
 * every /8 chunk it does not touch, so readers follow one reference without a lock.
 */
public final class BlockTable {

  /** Finds no site for any address. */
  public static final BlockTable EMPTY = of(List.of());

  private static final int CHUNKS = 256;
  private static final int CHUNK_BITS = 24;

  private final BlockChunk[] chunks;

  private BlockTable(BlockChunk[] chunks) {
    this.chunks = chunks;
  }

  /**
   * Builds a table.
   *
   * @param blocks the blocks in any order, not null
   * @return the table
   */
  public static BlockTable of(List<Block> blocks) {
    List<Block> sorted = new ArrayList<>(blocks);
    sorted.sort(Comparator.comparingInt(Block::bits));
    List<List<Block>> parts = split(sorted);
    BlockChunk[] chunks = new BlockChunk[CHUNKS];
    for (int i = 0; i < CHUNKS; i++) {
      List<Block> part = parts.get(i);
      chunks[i] = part.isEmpty() ? BlockChunk.EMPTY : BlockChunk.build(part);
    }
    return new BlockTable(chunks);
  }

  /**
   * Returns a table with some blocks assigned anew. Only the chunks that hold them are rebuilt.
   *
   * @param changes the blocks in order; each overrides what the table holds for its addresses
   * @return the new table
   */
  public BlockTable with(List<Block> changes) {
    List<List<Block>> parts = split(changes);
    BlockChunk[] next = Arrays.copyOf(chunks, CHUNKS);
    for (int i = 0; i < CHUNKS; i++) {
      if (!parts.get(i).isEmpty()) {
        next[i] = chunks[i].with(parts.get(i));
      }
    }
    return new BlockTable(next);
  }

  /**
   * Finds the site of an address. Safe for any number of threads and free of locks.
   *
   * @param address the address as an unsigned 32-bit number
   * @return the site, 0 if no block holds the address
   */
  public int siteOf(int address) {
    return chunks[address >>> CHUNK_BITS].siteOf(address);
  }

  /**
   * Returns the memory that the table takes.
   *
   * @return bytes, without object headers
   */
  public long bytes() {
    long sum = 0;
    for (BlockChunk chunk : chunks) {
      sum += chunk.bytes();
    }
    return sum;
  }

  private static List<List<Block>> split(List<Block> blocks) {
    List<List<Block>> parts = new ArrayList<>(CHUNKS);
    for (int i = 0; i < CHUNKS; i++) {
      parts.add(new ArrayList<>());
    }
    for (Block block : blocks) {
      int last = block.last() >>> CHUNK_BITS;
      for (int i = block.address() >>> CHUNK_BITS; i <= last; i++) {
        parts.get(i).add(block);
      }
    }
    return parts;
  }
}
