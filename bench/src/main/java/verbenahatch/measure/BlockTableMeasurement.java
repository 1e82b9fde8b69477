package verbenahatch.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import verbenahatch.routing.Block;
import verbenahatch.routing.BlockTable;

/**
 * Measures memory, look-up and change time of the table from 4.3 million client blocks to sites.
 */
public final class BlockTableMeasurement implements Measurement {

  private static final int BLOCKS = 4_300_000;
  private static final int SITES = 180;
  private static final int LOOK_UPS = 20_000_000;
  private static final int CHANGES = 200;

  /** Fleet-wide look-ups/s divided by the planned number of daemons. */
  private static final double LOOK_UPS_PER_DAEMON = 560_000.0 / 540;

  /** Memory of a daemon for control data. */
  private static final double MEMORY_BUDGET_BYTES = 32e6;

  @Override
  public String name() {
    return "blocks";
  }

  @Override
  public List<Figure> run(long seed) {
    Random random = new Random(seed);
    List<Block> blocks = blocks(random);
    long startNanos = System.nanoTime();
    BlockTable table = BlockTable.of(blocks);
    final double buildSeconds = secondsSince(startNanos);
    double rate = lookUpsPerSecond(table, random);
    List<Figure> figures = new ArrayList<>();
    figures.add(Figure.atMost("blocks-memory", table.bytes(), "bytes", MEMORY_BUDGET_BYTES));
    figures.add(Figure.info("blocks-bytes-per-block", table.bytes() / (double) BLOCKS, "bytes"));
    figures.add(Figure.atLeast("blocks-look-ups", rate, "look-ups/s/core", LOOK_UPS_PER_DAEMON));
    figures.add(
        Figure.info("blocks-look-up-cpu", LOOK_UPS_PER_DAEMON / rate * 100, "percent-of-core"));
    figures.add(Figure.info("blocks-build", buildSeconds, "s"));
    figures.add(Figure.info("blocks-apply-change", millisPerChange(table, random), "ms"));
    return figures;
  }

  private static List<Block> blocks(Random random) {
    List<Block> blocks = new ArrayList<>(BLOCKS);
    // Consecutive /24 prefixes from 1.0.0.0 on. Adjacent blocks differ in site, so no ranges merge.
    int site = 0;
    for (int i = 0; i < BLOCKS; i++) {
      site = (site + 1 + random.nextInt(SITES - 1)) % SITES;
      blocks.add(new Block((1 << 24) + (i << 8), 24, site + 1));
    }
    return blocks;
  }

  private static double lookUpsPerSecond(BlockTable table, Random random) {
    int[] addresses = new int[1 << 16];
    for (int i = 0; i < addresses.length; i++) {
      addresses[i] = (1 << 24) + random.nextInt(BLOCKS << 8 >>> 1) * 2;
    }
    long sum = 0;
    for (int i = 0; i < LOOK_UPS; i++) {
      sum += table.siteOf(addresses[i & (addresses.length - 1)]);
    }
    long startNanos = System.nanoTime();
    for (int i = 0; i < LOOK_UPS; i++) {
      sum += table.siteOf(addresses[i & (addresses.length - 1)]);
    }
    double seconds = secondsSince(startNanos);
    if (sum == 0) {
      throw new IllegalStateException("the block table returned no site for any address");
    }
    return LOOK_UPS / seconds;
  }

  private static double millisPerChange(BlockTable table, Random random) {
    BlockTable current = table;
    long startNanos = System.nanoTime();
    for (int i = 0; i < CHANGES; i++) {
      int block = random.nextInt(BLOCKS);
      current =
          current.with(List.of(new Block((1 << 24) + (block << 8), 24, 1 + random.nextInt(SITES))));
    }
    return secondsSince(startNanos) * 1e3 / CHANGES;
  }

  private static double secondsSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1e9;
  }
}
