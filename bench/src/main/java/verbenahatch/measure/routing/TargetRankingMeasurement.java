package verbenahatch.measure.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import verbenahatch.kernel.Hashing;
import verbenahatch.measure.Figure;
import verbenahatch.measure.Measurement;
import verbenahatch.measure.routing.PlacementScheme.Choice;
import verbenahatch.measure.routing.PlacementScheme.Entry;
import verbenahatch.measure.routing.PlacementScheme.Placement;

/**
 * Compares ways to select the target of an object: moved objects, skew, memory and cost.
 *
 * <p>There are 10, 92 and 259 targets with 5 to 10 slots.
 */
public final class TargetRankingMeasurement implements Measurement {

  private static final int[] TARGET_COUNTS = {10, 92, 259};

  /** Gives a target of 5 slots a standard deviation of 1%. */
  private static final int OBJECTS_PER_SLOT = 2_000;

  private static final int TIMED_CHOICES = 100_000;

  /** Moved objects relative to the least possible ones, and deviation from slots, as required. */
  private static final double MAX_MOVES = 1.05;

  private static final double MAX_SKEW = 0.03;

  @Override
  public String name() {
    return "target-ranking";
  }

  @Override
  public List<Figure> run(long seed) {
    List<Figure> figures = new ArrayList<>();
    for (int count : TARGET_COUNTS) {
      SplittableRandom random = new SplittableRandom(seed);
      List<Entry> entries = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        entries.add(new Entry("t" + i, 1_000 + i, random.nextInt(5, 11)));
      }
      long[] objects = new long[OBJECTS_PER_SLOT * totalSize(entries)];
      for (int i = 0; i < objects.length; i++) {
        objects[i] = random.nextLong();
      }
      for (PlacementScheme scheme : PlacementScheme.values()) {
        String prefix = "ranking-" + count + "-" + scheme.name().toLowerCase(Locale.ROOT);
        if (scheme != PlacementScheme.BOUNDED) {
          figures.addAll(moves(prefix, scheme, entries, objects));
        }
        Placement placement = scheme.place(entries);
        figures.add(Figure.info(prefix + "-memory", placement.bytes(), "bytes"));
        figures.add(Figure.info(prefix + "-cost", nanosPerChoice(placement.choice()), "ns"));
      }
    }
    return figures;
  }

  private static List<Figure> moves(
      String prefix, PlacementScheme scheme, List<Entry> entries, long[] objects) {
    int middle = entries.size() / 2;
    Entry changed = entries.get(middle);
    List<Entry> rest = new ArrayList<>(entries);
    rest.remove(middle);
    List<Entry> resized = new ArrayList<>(entries);
    resized.set(middle, new Entry(changed.id(), changed.port(), changed.size() + 4));
    List<Entry> renewed = new ArrayList<>(entries);
    renewed.set(middle, new Entry("renewed", changed.port(), changed.size()));
    double share = share(changed, entries);
    double difference = share(resized.get(middle), resized) - share;
    double removal = moved(scheme, entries, rest, objects) / share;
    double resize = moved(scheme, entries, resized, objects) / difference;
    boolean isNew = scheme == PlacementScheme.RENDEZVOUS;
    List<Figure> figures = new ArrayList<>();
    figures.add(figure(isNew, prefix + "-moved-by-removal", removal, "of-least", MAX_MOVES));
    figures.add(figure(isNew, prefix + "-moved-by-resize", resize, "of-least", MAX_MOVES));
    double renewal = moved(scheme, entries, renewed, objects) / share;
    figures.add(figure(isNew, prefix + "-moved-by-new-entry", renewal, "of-share", 0));
    figures.add(figure(isNew, prefix + "-skew", skew(scheme, entries, objects), "part", MAX_SKEW));
    return figures;
  }

  private static Figure figure(
      boolean isNew, String name, double value, String unit, double maximum) {
    return isNew ? Figure.atMost(name, value, unit, maximum) : Figure.info(name, value, unit);
  }

  /** Returns the part of the objects whose target differs between two lists of targets. */
  private static double moved(
      PlacementScheme scheme, List<Entry> before, List<Entry> after, long[] objects) {
    Choice old = scheme.place(before).choice();
    Choice current = scheme.place(after).choice();
    int moved = 0;
    for (long object : objects) {
      moved += old.first(object).port() == current.first(object).port() ? 0 : 1;
    }
    return (double) moved / objects.length;
  }

  /** Returns the largest deviation of a target's share from its part of the slots. */
  private static double skew(PlacementScheme scheme, List<Entry> entries, long[] objects) {
    Choice choice = scheme.place(entries).choice();
    int[] counts = new int[entries.size()];
    for (long object : objects) {
      counts[choice.first(object).port() - 1_000]++;
    }
    double largest = 0;
    for (int i = 0; i < counts.length; i++) {
      double relative = counts[i] / (share(entries.get(i), entries) * objects.length);
      largest = Math.max(largest, Math.abs(relative - 1));
    }
    return largest;
  }

  private static double nanosPerChoice(Choice choice) {
    long sum = 0;
    long startNanos = 0;
    for (int i = -TIMED_CHOICES; i < TIMED_CHOICES; i++) {
      if (i == 0) {
        startNanos = System.nanoTime();
      }
      sum += choice.first(Hashing.mix(i)).port();
    }
    long nanos = System.nanoTime() - startNanos;
    if (sum == 0) {
      throw new IllegalStateException("no target was chosen");
    }
    return (double) nanos / TIMED_CHOICES;
  }

  private static double share(Entry entry, List<Entry> entries) {
    return (double) entry.size() / totalSize(entries);
  }

  private static int totalSize(List<Entry> entries) {
    return entries.stream().mapToInt(Entry::size).sum();
  }
}
