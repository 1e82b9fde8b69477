package verbenahatch.measure.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import verbenahatch.kernel.Hashing;
import verbenahatch.routing.TargetKey;
import verbenahatch.routing.TargetRanking;

/** Selects the first target of an object, in one of the ways that are compared. */
enum PlacementScheme {
  /** The lowest hash of entry id and object, without sizes: the ranking before this one. */
  PREVIOUS {
    @Override
    Placement place(List<Entry> entries) {
      long[] keys = entries.stream().mapToLong(entry -> Hashing.of(entry.id)).toArray();
      return new Placement(
          8L * keys.length,
          object -> {
            int first = 0;
            long lowest = Long.MAX_VALUE;
            for (int i = 0; i < keys.length; i++) {
              long hash = Hashing.mix(keys[i] ^ object);
              if (hash < lowest) {
                lowest = hash;
                first = i;
              }
            }
            return entries.get(first);
          });
    }
  },
  /** Weighted rendezvous hashing: the production type. */
  RENDEZVOUS {
    @Override
    Placement place(List<Entry> entries) {
      TargetRanking<Entry> ranking = new TargetRanking<>(new EntryView());
      return new Placement(8L * entries.size(), object -> ranking.first(object, entries, 1).get(0));
    }
  },
  /** The production type with the bound on loads, of which all are 0. */
  BOUNDED {
    @Override
    Placement place(List<Entry> entries) {
      TargetRanking<Entry> ranking = new TargetRanking<>(new EntryView());
      return new Placement(
          8L * entries.size(), object -> ranking.firstWithinBound(object, entries, 1).get(0));
    }
  },
  /** A look-up table as in Maglev, in which a target has turns in proportion to its size. */
  MAGLEV {
    private static final int TABLE_SIZE = 65_537;

    @Override
    Placement place(List<Entry> entries) {
      List<Entry> sorted = byKey(entries);
      int largest = sorted.stream().mapToInt(Entry::size).max().orElse(1);
      short[] table = new short[TABLE_SIZE];
      Arrays.fill(table, (short) -1);
      int[] next = new int[sorted.size()];
      int[] credit = new int[sorted.size()];
      int filled = 0;
      while (filled < TABLE_SIZE) {
        for (int i = 0; i < next.length && filled < TABLE_SIZE; i++) {
          credit[i] += sorted.get(i).size;
          if (credit[i] < largest) {
            continue;
          }
          credit[i] -= largest;
          table[nextFree(table, sorted.get(i).key, next, i)] = (short) i;
          filled++;
        }
      }
      return new Placement(
          2L * TABLE_SIZE,
          object -> sorted.get(table[(int) Long.remainderUnsigned(object, TABLE_SIZE)]));
    }

    private static int nextFree(short[] table, long key, int[] next, int target) {
      long offset = Long.remainderUnsigned(key, TABLE_SIZE);
      long skip = Long.remainderUnsigned(Hashing.mix(key), TABLE_SIZE - 1) + 1;
      while (true) {
        int position = (int) ((offset + next[target] * skip) % TABLE_SIZE);
        next[target]++;
        if (table[position] < 0) {
          return position;
        }
      }
    }
  },
  /** A ring on which a target has points in proportion to its size. */
  RING {
    private static final int POINTS_PER_SLOT = 100;

    @Override
    Placement place(List<Entry> entries) {
      record Point(long position, Entry owner) {}

      List<Point> points = new ArrayList<>();
      for (Entry entry : entries) {
        for (int i = 0; i < POINTS_PER_SLOT * entry.size; i++) {
          points.add(new Point(Hashing.mix(entry.key ^ Hashing.mix(i)), entry));
        }
      }
      points.sort(Comparator.comparingLong(Point::position));
      long[] positions = points.stream().mapToLong(Point::position).toArray();
      Entry[] owners = points.stream().map(Point::owner).toArray(Entry[]::new);
      // A position, and the number of the owner in two bytes.
      return new Placement(
          10L * positions.length,
          object -> {
            int found = Arrays.binarySearch(positions, object);
            int index = found >= 0 ? found : -found - 1;
            return owners[index == owners.length ? 0 : index];
          });
    }
  },
  /** Jump hashing over all slots, numbered in the order of the targets' keys. */
  JUMP {
    @Override
    Placement place(List<Entry> entries) {
      List<Entry> slots = new ArrayList<>();
      for (Entry entry : byKey(entries)) {
        for (int i = 0; i < entry.size; i++) {
          slots.add(entry);
        }
      }
      return new Placement(2L * slots.size(), object -> slots.get(jump(object, slots.size())));
    }

    private static int jump(long object, int buckets) {
      long state = object;
      long bucket = -1;
      long next = 0;
      while (next < buckets) {
        bucket = next;
        state = state * 2862933555777941757L + 1;
        next = (long) ((bucket + 1) * (0x1.0p31 / ((state >>> 33) + 1)));
      }
      return (int) bucket;
    }
  };

  /**
   * Holds the entry of a target.
   *
   * @param id the id of the entry
   * @param port the port, different for each target
   * @param size the number of slots
   * @param key the hash of the stable key
   */
  record Entry(String id, int port, int size, long key) {

    Entry(String id, int port, int size) {
      this(id, port, size, TargetKey.hash("orders", "10.0.0.1", port, id));
    }
  }

  /** Selects the target of an object, given by its hash. */
  interface Choice {
    Entry first(long objectHash);
  }

  /**
   * Holds the data of a scheme for one list of targets.
   *
   * @param bytes the memory for keys or tables in bytes, without the targets
   * @param choice selects the target of an object
   */
  record Placement(long bytes, Choice choice) {}

  private static final class EntryView implements TargetRanking.View<Entry> {

    @Override
    public long keyHash(Entry entry) {
      return entry.key;
    }

    @Override
    public int size(Entry entry) {
      return entry.size;
    }

    @Override
    public double load(Entry entry) {
      return 0;
    }
  }

  /** Prepares the choice among targets. */
  abstract Placement place(List<Entry> entries);

  private static List<Entry> byKey(List<Entry> entries) {
    return entries.stream().sorted(Comparator.comparingLong(Entry::key)).toList();
  }
}
