package verbenahatch.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Finds the site of a caller by its IPv4 address.
 *
 * <p>A longer prefix overrides a shorter one. Immutable: a change returns a new table that shares
 * all unchanged /8 chunks, so that readers use one reference without a lock.
 */
public final class BlockTable {

  /** The table without blocks, which returns site 0 for every address. */
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
    List<List<Block>> blocksByChunk = split(sorted);
    BlockChunk[] chunks = new BlockChunk[CHUNKS];
    for (int i = 0; i < CHUNKS; i++) {
      List<Block> chunkBlocks = blocksByChunk.get(i);
      chunks[i] = chunkBlocks.isEmpty() ? BlockChunk.EMPTY : BlockChunk.build(chunkBlocks);
    }
    return new BlockTable(chunks);
  }

  /**
   * Returns a table with the given blocks reassigned. Only the chunks that contain them are
   * rebuilt.
   *
   * @param changes the blocks in order; each overrides the previous sites of its addresses
   * @return the new table
   */
  public BlockTable with(List<Block> changes) {
    List<List<Block>> blocksByChunk = split(changes);
    BlockChunk[] newChunks = Arrays.copyOf(chunks, CHUNKS);
    for (int i = 0; i < CHUNKS; i++) {
      if (!blocksByChunk.get(i).isEmpty()) {
        newChunks[i] = chunks[i].with(blocksByChunk.get(i));
      }
    }
    return new BlockTable(newChunks);
  }

  /**
   * Finds the site of an address. Thread-safe and lock-free.
   *
   * @param address the address as an unsigned 32-bit number
   * @return the site, 0 if no block contains the address
   */
  public int siteOf(int address) {
    return chunks[address >>> CHUNK_BITS].siteOf(address);
  }

  /**
   * Returns the memory that the table uses.
   *
   * @return the size of its arrays in bytes, without object headers
   */
  public long bytes() {
    long sum = 0;
    for (BlockChunk chunk : chunks) {
      sum += chunk.bytes();
    }
    return sum;
  }

  private static List<List<Block>> split(List<Block> blocks) {
    List<List<Block>> blocksByChunk = new ArrayList<>(CHUNKS);
    for (int i = 0; i < CHUNKS; i++) {
      blocksByChunk.add(new ArrayList<>());
    }
    for (Block block : blocks) {
      int lastChunk = block.lastAddress() >>> CHUNK_BITS;
      for (int i = block.address() >>> CHUNK_BITS; i <= lastChunk; i++) {
        blocksByChunk.get(i).add(block);
      }
    }
    return blocksByChunk;
  }
}
