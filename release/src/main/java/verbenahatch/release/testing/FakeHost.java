package verbenahatch.release.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Drains;
import verbenahatch.fleet.Fact;
import verbenahatch.fleet.Facts;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;
import verbenahatch.model.EnvironmentDocument;

/** Stands for what the fleet module tells one host. Used by one thread. */
final class FakeHost implements Fleet, Facts {

  private final ReleaseWorld world;
  private final Member self;
  private final Set<Fact> known = new HashSet<>();
  private final List<Consumer<Fact>> listeners = new ArrayList<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private boolean fresh = true;

  FakeHost(ReleaseWorld world, Member self) {
    this.world = world;
    this.self = self;
  }

  void setFresh(boolean fresh) {
    this.fresh = fresh;
  }

  void adopt(String name, byte[] value) {
    objects.put(name, value);
  }

  void learn(Fact fact) {
    if (known.add(fact)) {
      listeners.forEach(listener -> listener.accept(fact));
    }
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public List<Member> members() {
    return world.members();
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
    return fresh ? Duration.ofSeconds(1).toNanos() : 0;
  }

  @Override
  public boolean isInContact(String incarnation) {
    return fresh && world.isFresh(incarnation);
  }

  @Override
  public boolean isExpired(String incarnation) {
    return false;
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {}

  @Override
  public boolean contains(Fact fact) {
    return known.contains(fact);
  }

  @Override
  public CompletableFuture<PublishResult> publish(Fact fact, Duration timeout) {
    learn(fact);
    world.spread(self, fact);
    return CompletableFuture.completedFuture(new PublishResult(world.members().size(), 1, false));
  }

  @Override
  public void onFact(Consumer<Fact> listener) {
    listeners.add(listener);
  }

  /** Returns the configuration that this host sees. */
  ConfigView config() {
    return new ConfigView() {
      @Override
      public Optional<EnvironmentDocument> document() {
        return Optional.of(world.document());
      }

      @Override
      public Drains drains() {
        return Drains.NONE;
      }

      @Override
      public void onChange(Consumer<EnvironmentDocument> listener) {}

      @Override
      public Optional<byte[]> object(String name) {
        return Optional.ofNullable(objects.get(name));
      }
    };
  }
}
