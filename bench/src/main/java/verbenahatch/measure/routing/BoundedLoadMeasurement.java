package verbenahatch.measure.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import verbenahatch.kernel.Hashing;
import verbenahatch.measure.Figure;
import verbenahatch.measure.Measurement;
import verbenahatch.routing.TargetKey;
import verbenahatch.routing.TargetRanking;

/**
 * Measures what the bound on loads costs in warm objects and saves in full targets, in simulation.
 *
 * <p>92 targets with 4 slots keep their last 14 objects, and a warm object takes 0.3 of the time. A
 * request beyond the slots starts when a request at its target ends. A tenth of the requests is for
 * one object.
 */
public final class BoundedLoadMeasurement implements Measurement {

  private static final int TARGETS = 92;
  private static final int SLOTS = 4;
  private static final int KEPT_OBJECTS = 14;
  private static final int OBJECTS = 1_500;
  private static final int REQUESTS = 200_000;
  private static final double HOT_FRACTION = 0.1;
  private static final double WARM_TIME = 0.3;

  /** Arrival rates in percent of the capacity of all slots for cold objects. */
  private static final int[] LOAD_PERCENTS = {30, 60, 90, 150};

  /** The ways to choose that are compared. */
  private enum Policy {
    FIRST,
    BOUNDED,
    FREE_SLOT_OR_BOUNDED
  }

  private static final class Node {
    final long key;
    final Map<Integer, Boolean> kept =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > KEPT_OBJECTS;
          }
        };
    final PriorityQueue<Double> slotsFreeAt = new PriorityQueue<>();
    int load;

    Node(int number) {
      key = TargetKey.hash("orders", "10.0.0.1", 1_000 + number, "");
      for (int i = 0; i < SLOTS; i++) {
        slotsFreeAt.add(0.0);
      }
    }
  }

  private record End(double time, Node node) {}

  private static final TargetRanking<Node> RANKING =
      new TargetRanking<>(
          new TargetRanking.View<>() {
            @Override
            public long keyHash(Node node) {
              return node.key;
            }

            @Override
            public int size(Node node) {
              return SLOTS;
            }

            @Override
            public double load(Node node) {
              return node.load;
            }
          });

  @Override
  public String name() {
    return "bounded-load";
  }

  @Override
  public List<Figure> run(long seed) {
    List<Figure> figures = new ArrayList<>();
    for (int percent : LOAD_PERCENTS) {
      for (Policy policy : Policy.values()) {
        String name = policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
        figures.addAll(simulate("bounded-load-" + percent + "-" + name, policy, percent, seed));
      }
    }
    return figures;
  }

  private static List<Figure> simulate(String prefix, Policy policy, int percent, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      nodes.add(new Node(i));
    }
    PriorityQueue<End> ends =
        new PriorityQueue<>((first, second) -> Double.compare(first.time, second.time));
    double rate = TARGETS * SLOTS * percent / 100.0;
    double now = 0;
    int warm = 0;
    int waited = 0;
    double waits = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += -Math.log(1 - random.nextDouble()) / rate;
      while (!ends.isEmpty() && ends.peek().time <= now) {
        ends.remove().node.load--;
      }
      int object = random.nextDouble() < HOT_FRACTION ? 0 : random.nextInt(OBJECTS);
      Node node = choose(policy, nodes, Hashing.mix(object));
      boolean isWarm = node.kept.put(object, true) != null;
      double start = Math.max(now, node.slotsFreeAt.remove());
      double end = start + (isWarm ? WARM_TIME : 1);
      node.slotsFreeAt.add(end);
      node.load++;
      ends.add(new End(end, node));
      warm += isWarm ? 1 : 0;
      waited += start > now ? 1 : 0;
      waits += start - now;
    }
    return List.of(
        Figure.info(prefix + "-warm", (double) warm / REQUESTS, "part"),
        Figure.info(prefix + "-waited", (double) waited / REQUESTS, "part"),
        Figure.info(prefix + "-mean-wait", waits / REQUESTS, "of-cold-time"));
  }

  private static Node choose(Policy policy, List<Node> nodes, long objectHash) {
    List<Node> ranked =
        switch (policy) {
          case FIRST -> RANKING.first(objectHash, nodes, 1);
          case BOUNDED -> RANKING.firstWithinBound(objectHash, nodes, 1);
          case FREE_SLOT_OR_BOUNDED -> RANKING.firstWithRoom(objectHash, nodes, 1);
        };
    return ranked.get(0);
  }
}
