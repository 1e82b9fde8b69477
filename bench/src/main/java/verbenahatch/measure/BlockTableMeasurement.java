package verbenahatch.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import verbenahatch.routing.Block;
import verbenahatch.routing.BlockTable;

/** Measures the look-up from client block to site over 4.3 million blocks in memory. */
public final class BlockTableMeasurement implements Measurement {

  private static final int BLOCKS = 4_300_000;
  private static final int SITES = 180;
  private static final int LOOK_UPS = 20_000_000;
  private static final int CHANGES = 200;

  /** Fleet-wide look-ups/s divided by the planned number of daemons. */
  private static final double LOOK_UPS_PER_DAEMON = 560_000.0 / 540;

  /** Control memory of a daemon in bytes. */
  private static final double MEMORY_BUDGET = 32e6;

  @Override
  public String name() {
    return "blocks";
  }

  @Override
  public List<Figure> run(long seed) {
    Random random = new Random(seed);
    List<Block> blocks = blocks(random);
    long start = System.nanoTime();
    BlockTable table = BlockTable.of(blocks);
    final double buildSeconds = secondsSince(start);
    double rate = lookUpsPerSecond(table, random);
    List<Figure> figures = new ArrayList<>();
    figures.add(Figure.atMost("blocks-memory", table.bytes(), "bytes", MEMORY_BUDGET));
    figures.add(Figure.info("blocks-bytes-per-block", table.bytes() / (double) BLOCKS, "bytes"));
    figures.add(Figure.atLeast("blocks-look-ups", rate, "look-ups/s/core", LOOK_UPS_PER_DAEMON));
    figures.add(
        Figure.info("blocks-look-up-cpu", LOOK_UPS_PER_DAEMON / rate * 100, "percent-of-core"));
    figures.add(Figure.info("blocks-build", buildSeconds, "s"));
    figures.add(Figure.info("blocks-apply-change", changeMillis(table, random), "ms"));
    return figures;
  }

  private static List<Block> blocks(Random random) {
    List<Block> blocks = new ArrayList<>(BLOCKS);
    // Consecutive /24 prefixes from 1.0.0.0 on. Neighbours never share a site, so no ranges merge.
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
    long start = System.nanoTime();
    for (int i = 0; i < LOOK_UPS; i++) {
      sum += table.siteOf(addresses[i & (addresses.length - 1)]);
    }
    double seconds = secondsSince(start);
    if (sum == 0) {
      throw new IllegalStateException("the table found no site");
    }
    return LOOK_UPS / seconds;
  }

  private static double changeMillis(BlockTable table, Random random) {
    BlockTable current = table;
    long start = System.nanoTime();
    for (int i = 0; i < CHANGES; i++) {
      int block = random.nextInt(BLOCKS);
      current =
          current.with(List.of(new Block((1 << 24) + (block << 8), 24, 1 + random.nextInt(SITES))));
    }
    return secondsSince(start) * 1e3 / CHANGES;
  }

  private static double secondsSince(long start) {
    return (System.nanoTime() - start) / 1e9;
  }
}
