package verbenahatch.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Drains;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.fleet.Keys;
import verbenahatch.fleet.Member;
import verbenahatch.limits.Admission;
import verbenahatch.limits.Limits;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.peer.PeerAddress;
import verbenahatch.release.Releases;

/** Fakes of the modules that the gateway uses. */
final class Fakes {

  static final String KEY = "vh_0123456789abcdefghijklmnopqrstuvwxyzABCDEFG";

  private Fakes() {}

  static final class FakeFleet implements Fleet {
    volatile boolean fresh = true;
    volatile boolean staleBeforeFirstByte;
    volatile List<Member> members;
    volatile Member self;
    final Set<String> unreachable = ConcurrentHashMap.newKeySet();

    FakeFleet(String host) {
      self = member(host, "dakar", host.hashCode() & 0xffff);
      members = List.of(self);
    }

    static Member member(String host, String region, int peerPort) {
      PeerAddress peer = new PeerAddress("127.0.0.1", peerPort);
      return new Member(
          host, host + "-1", region, region + "-a", peer, "http://127.0.0.1/" + host, false);
    }

    @Override
    public Member self() {
      return self;
    }

    @Override
    public List<Member> members() {
      return members;
    }

    @Override
    public long membersEpoch() {
      return 1;
    }

    @Override
    public boolean isFresh() {
      return fresh;
    }

    @Override
    public long remainingFreshnessNanos() {
      return fresh && !staleBeforeFirstByte ? 1_000_000_000L : 0;
    }

    @Override
    public boolean isInContact(String incarnation) {
      return !unreachable.contains(incarnation);
    }

    @Override
    public boolean isExpired(String incarnation) {
      return false;
    }

    @Override
    public void onChange(Consumer<List<Member>> listener) {}
  }

  static final class FakeConfig implements ConfigView {
    volatile @Nullable EnvironmentDocument document;
    volatile Drains drains = Drains.NONE;
    private final List<Consumer<EnvironmentDocument>> listeners = new CopyOnWriteArrayList<>();

    void apply(EnvironmentDocument next) {
      document = next;
      listeners.forEach(listener -> listener.accept(next));
    }

    @Override
    public Optional<EnvironmentDocument> document() {
      return Optional.ofNullable(document);
    }

    @Override
    public Drains drains() {
      return drains;
    }

    @Override
    public void onChange(Consumer<EnvironmentDocument> next) {
      listeners.add(next);
    }
  }

  static final class FakeKeys implements Keys {
    final Map<String, KeyCheck> keys = new ConcurrentHashMap<>();
    volatile Runnable beforeRecheck = () -> {};

    FakeKeys() {
      keys.put(KEY, new KeyCheck.Valid("ateliers", KEY));
    }

    @Override
    public KeyCheck check(@Nullable String key) {
      return keys.getOrDefault(key == null ? "" : key, new KeyCheck.Unknown());
    }

    @Override
    public KeyCheck recheck(String keyHash) {
      beforeRecheck.run();
      return check(keyHash);
    }
  }

  static final class FakeLimits implements Limits {
    volatile Admission admission = new Admission.Admitted();
    volatile Set<String> fullRegions = Set.of();
    final AtomicInteger inRegions = new AtomicInteger();

    @Override
    public CompletableFuture<Admission> admit(String workspace, long deadlineNanos) {
      return CompletableFuture.completedFuture(admission);
    }

    @Override
    public CompletableFuture<Admission> enterRegion(String region, long deadlineNanos) {
      if (fullRegions.contains(region)) {
        return CompletableFuture.completedFuture(new Admission.OverLimit(100));
      }
      inRegions.incrementAndGet();
      return CompletableFuture.completedFuture(new Admission.Admitted());
    }

    @Override
    public void leaveRegion(String region) {
      inRegions.decrementAndGet();
    }

    @Override
    public CompletableFuture<Admission> takeLinkBytes(
        String from, String to, long bytes, long deadlineNanos) {
      return CompletableFuture.completedFuture(new Admission.Admitted());
    }

    @Override
    public double linkHeadroom(String from, String to) {
      return 1;
    }
  }

  static final class FakeReleases implements Releases {
    final AtomicInteger failures = new AtomicInteger();
    final AtomicInteger records = new AtomicInteger();

    @Override
    public String chooseVersion(String service, String currentVersion, double draw) {
      return currentVersion;
    }

    @Override
    public void record(
        String service, String route, String version, boolean failed, long latencyNanos) {
      records.incrementAndGet();
      if (failed) {
        failures.incrementAndGet();
      }
    }
  }
}
