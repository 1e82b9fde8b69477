package verbenahatch.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class BlockTableTest {

  /** Guards against a caller at the edge of a block that is steered to the wrong site. */
  @ParameterizedTest
  @CsvSource({
    "9.255.255.255, 0",
    "10.0.0.0, 1",
    "10.0.255.255, 1",
    "10.1.0.0, 2",
    "10.1.2.2, 2",
    "10.1.2.3, 3",
    "10.1.2.4, 2",
    "10.2.0.0, 1",
    "10.255.255.255, 1",
    "11.0.0.0, 0",
    "200.1.2.3, 4",
    "255.255.255.255, 4",
  })
  void longestPrefixWins(String address, int site) {
    BlockTable table =
        BlockTable.of(
            List.of(
                Block.parse("10.1.2.3/32", 3),
                Block.parse("10.1.0.0/16", 2),
                Block.parse("10.0.0.0/8", 1),
                Block.parse("192.0.0.0/2", 4)));
    assertEquals(site, table.siteOf(Block.parseAddress(address)));
  }

  /** Guards against an update that changes other addresses of the same chunk. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void agreesWithLinearSearch(long seed) {
    System.out.println("seed " + seed);
    Random random = new Random(seed);
    List<Block> blocks = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      blocks.add(randomBlock(random));
    }
    List<Block> changes = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      changes.add(randomBlock(random));
    }
    BlockTable table = BlockTable.of(blocks).with(changes);
    blocks.sort(Comparator.comparingInt(Block::bits));
    blocks.addAll(changes);
    for (int i = 0; i < 20_000; i++) {
      int address = 10 << 24 | random.nextInt(1 << 24);
      assertEquals(linearSearch(blocks, address), table.siteOf(address), "address " + address);
    }
  }

  /** Guards against a mistyped prefix that is taken for another one. */
  @ParameterizedTest
  @ValueSource(strings = {"10.0.0.0", "10.0.0/8", "10.0.0.256/8", "10.0.0.0/33", "a.b.c.d/8"})
  void rejectsInvalidPrefix(String text) {
    assertThrows(IllegalArgumentException.class, () -> Block.parse(text, 1));
  }

  /** Guards against a table that needs more than the memory planned for 4.3 million blocks. */
  @Test
  void usesAboutThreeBytesPerBlock() {
    List<Block> blocks = new ArrayList<>();
    for (int i = 0; i < 60_000; i++) {
      blocks.add(new Block(10 << 24 | i << 8, 24, 1 + i % 180));
    }
    double bytesPerBlock = (BlockTable.of(blocks).bytes() - BlockTable.EMPTY.bytes()) / 60_000.0;
    assertEquals(3.0, bytesPerBlock, 0.1);
  }

  private static Block randomBlock(Random random) {
    int bits = 8 + random.nextInt(25);
    int mask = bits == 32 ? -1 : -1 << (32 - bits);
    return new Block((10 << 24 | random.nextInt(1 << 24)) & mask, bits, random.nextInt(181));
  }

  private static int linearSearch(List<Block> blocks, int address) {
    int site = 0;
    for (Block block : blocks) {
      boolean contains =
          Integer.compareUnsigned(block.address(), address) <= 0
              && Integer.compareUnsigned(address, block.lastAddress()) <= 0;
      site = contains ? block.site() : site;
    }
    return site;
  }
}
