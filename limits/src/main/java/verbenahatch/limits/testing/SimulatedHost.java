package verbenahatch.limits.testing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Drains;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Clock;
import verbenahatch.limits.SharedLimits;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.peer.testing.FakePeerLink;

/**
 * Simulates one host: its view of the fleet and of the configuration, and the limits that run on
 * it. The simulation updates the view. Not thread-safe.
 */
public final class SimulatedHost implements Fleet {

  /** Time for which a contact keeps a host fresh, in nanoseconds. */
  static final long FRESHNESS_NANOS = 1_500_000_000L;

  final int index;
  final FakePeerLink link;
  final Map<String, Long> contacts = new HashMap<>();
  final Map<String, Long> leaseExpiries = new HashMap<>();
  boolean paused;
  boolean killed;

  private final Clock clock;
  private final List<Consumer<List<Member>>> memberListeners = new ArrayList<>();
  private final List<Consumer<EnvironmentDocument>> documentListeners = new ArrayList<>();
  private Member self;
  private List<Member> members = List.of();
  private long epoch;
  private long freshUntilNanos;
  private @Nullable EnvironmentDocument document;
  private @Nullable SharedLimits limits;

  SimulatedHost(int index, Clock clock, FakePeerLink link, Member self) {
    this.index = index;
    this.clock = clock;
    this.link = link;
    this.self = self;
  }

  /**
   * Returns the limits under test.
   *
   * @return the limits of this host
   */
  public SharedLimits limits() {
    if (limits == null) {
      throw new IllegalStateException("host has not started");
    }
    return limits;
  }

  /**
   * Returns the generation of the document in force here.
   *
   * @return the generation, 0 before the first document
   */
  public long generation() {
    return document == null ? 0 : document.generation();
  }

  ConfigView config() {
    return new Config();
  }

  /**
   * Returns the peer link of the host.
   *
   * @return the link
   */
  public FakePeerLink link() {
    return link;
  }

  void start(SharedLimits started) {
    limits = started;
  }

  /**
   * Returns whether the process is running.
   *
   * @return true if it is neither killed nor paused
   */
  public boolean isRunning() {
    return !killed && !paused;
  }

  void renew(Member newSelf) {
    self = newSelf;
    contacts.clear();
    members = List.of();
    refresh();
  }

  void updateMembers(long newEpoch, List<Member> newMembers) {
    if (newEpoch > epoch) {
      epoch = newEpoch;
      members = List.copyOf(newMembers);
      refresh();
      memberListeners.forEach(listener -> listener.accept(members));
    }
  }

  void adopt(EnvironmentDocument newDocument) {
    if (document == null || newDocument.generation() > document.generation()) {
      document = newDocument;
      documentListeners.forEach(listener -> listener.accept(newDocument));
    }
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
    return epoch;
  }

  @Override
  public boolean isFresh() {
    return remainingFreshnessNanos() > 0;
  }

  @Override
  public long remainingFreshnessNanos() {
    return Math.max(0, freshUntilNanos - clock.nanoTime());
  }

  /**
   * Recomputes how long this host stays fresh; must be called after a change of contacts or
   * members.
   */
  void refresh() {
    boolean isMember = false;
    List<Long> contactTimes = new ArrayList<>();
    for (Member member : members) {
      if (member.incarnation().equals(self.incarnation())) {
        isMember = true;
        contactTimes.add(Long.MAX_VALUE);
      } else {
        contactTimes.add(contacts.getOrDefault(member.incarnation(), Long.MIN_VALUE));
      }
    }
    freshUntilNanos = 0;
    if (isMember) {
      contactTimes.sort(Comparator.reverseOrder());
      long contact = contactTimes.get(members.size() / 2);
      freshUntilNanos = contact == Long.MIN_VALUE ? 0 : freshUntilAfter(contact);
    }
  }

  private static long freshUntilAfter(long contact) {
    return contact == Long.MAX_VALUE ? contact : contact + FRESHNESS_NANOS;
  }

  @Override
  public boolean isInContact(String incarnation) {
    Long contact = contacts.get(incarnation);
    return incarnation.equals(self.incarnation())
        || (contact != null && clock.nanoTime() - contact <= FRESHNESS_NANOS);
  }

  @Override
  public boolean isExpired(String incarnation) {
    Long at = leaseExpiries.get(incarnation);
    return at != null && clock.nanoTime() >= at;
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {
    memberListeners.add(listener);
  }

  /** The configuration view of this host. */
  private final class Config implements ConfigView {

    @Override
    public Optional<EnvironmentDocument> document() {
      return Optional.ofNullable(document);
    }

    @Override
    public Drains drains() {
      return Drains.NONE;
    }

    @Override
    public void onChange(Consumer<EnvironmentDocument> listener) {
      documentListeners.add(listener);
    }
  }
}
