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

/** Fakes the fleet and its facts in the view of one host. Not thread-safe. */
final class FakeHost implements Fleet, Facts {

  private final ReleaseSimulation simulation;
  private final Member self;
  private final Set<Fact> knownFacts = new HashSet<>();
  private final List<Consumer<Fact>> listeners = new ArrayList<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private boolean fresh = true;

  FakeHost(ReleaseSimulation simulation, Member self) {
    this.simulation = simulation;
    this.self = self;
  }

  void setFresh(boolean fresh) {
    this.fresh = fresh;
  }

  void putObject(String name, byte[] value) {
    objects.put(name, value);
  }

  void addFact(Fact fact) {
    if (knownFacts.add(fact)) {
      listeners.forEach(listener -> listener.accept(fact));
    }
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public List<Member> members() {
    return simulation.members();
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
    return fresh && simulation.isFresh(incarnation);
  }

  @Override
  public boolean isExpired(String incarnation) {
    return false;
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {}

  @Override
  public boolean contains(Fact fact) {
    return knownFacts.contains(fact);
  }

  @Override
  public CompletableFuture<PublishResult> publish(Fact fact, Duration timeout) {
    addFact(fact);
    simulation.propagate(self, fact);
    return CompletableFuture.completedFuture(
        new PublishResult(simulation.members().size(), 1, false));
  }

  @Override
  public void onFact(Consumer<Fact> listener) {
    listeners.add(listener);
  }

  /** Returns the configuration in the view of this host. */
  ConfigView config() {
    return new ConfigView() {
      @Override
      public Optional<EnvironmentDocument> document() {
        return Optional.of(simulation.document());
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
