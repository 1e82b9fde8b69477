package verbenahatch.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.PeerLink;
import verbenahatch.peer.generated.PushFacts;
import verbenahatch.peer.generated.PushFactsAnswer;

/**
 * Pushes the facts published on this host to every member and tracks the acknowledgements.
 * Thread-safe.
 *
 * <p>A fact is in force {@link Timing#FRESHNESS_EXPIRY} after its acceptance at the latest, because
 * a member that does not hold it by then has had no contact with a majority since its acceptance
 * and is not fresh.
 */
final class FactReplicator implements Facts {

  /** The state of a fact published on this host. */
  private static final class Publication {
    private final Set<String> acknowledged = new HashSet<>();
    private final Map<String, Long> pushedAtNanos = new HashMap<>();
    private final Map<CompletableFuture<PublishResult>, Long> deadlinesNanos = new HashMap<>();
    private long acceptedAtNanos;
    private boolean accepted;
    private boolean inForce;
  }

  private final FleetCore core;
  private final PeerLink link;
  private final Predicate<Fact> durable;
  private final Map<Fact, Publication> publications = new ConcurrentHashMap<>();

  FactReplicator(FleetCore core, PeerLink link, Predicate<Fact> durable) {
    this.core = core;
    this.link = link;
    this.durable = durable;
  }

  @Override
  public boolean contains(Fact fact) {
    return core.contains(fact);
  }

  @Override
  public void onFact(Consumer<Fact> listener) {
    core.onFact(listener);
  }

  @Override
  public CompletableFuture<PublishResult> publish(Fact fact, Duration timeout) {
    core.addFacts(List.of(fact));
    CompletableFuture<PublishResult> future = new CompletableFuture<>();
    Publication publication = publications.computeIfAbsent(fact, f -> new Publication());
    synchronized (publication) {
      publication.deadlinesNanos.put(future, core.clock().nanoTime() + timeout.toNanos());
    }
    advance(fact, publication);
    return future;
  }

  /**
   * Retries pushes that were not acknowledged, and completes the futures of facts that are accepted
   * or whose timeout is over.
   */
  void tick() {
    publications.forEach(this::advance);
    publications.entrySet().removeIf(entry -> isFinished(entry.getKey(), entry.getValue()));
  }

  private boolean isFinished(Fact fact, Publication publication) {
    if (fact instanceof Fact.HostFenced fenced && core.record().contains(fenced.incarnation())) {
      return false;
    }
    // Kept while the store is down, so that this host still reports the status of the fact.
    if (!(fact instanceof Fact.HostFenced) && !durable.test(fact)) {
      return false;
    }
    synchronized (publication) {
      return publication.inForce && publication.deadlinesNanos.isEmpty();
    }
  }

  private void advance(Fact fact, Publication publication) {
    MembersRecord record = core.record();
    long nowNanos = core.clock().nanoTime();
    for (Member member : record.members()) {
      if (recordDuePush(fact, publication, member, nowNanos)) {
        push(fact, publication, member);
      }
    }
    updateAcceptance(fact, publication, nowNanos);
  }

  private boolean recordDuePush(Fact fact, Publication publication, Member member, long nowNanos) {
    if (holds(fact, publication, member) || member.peer().equals(core.self().peer())) {
      return false;
    }
    synchronized (publication) {
      Long lastPushNanos = publication.pushedAtNanos.get(member.incarnation());
      if (lastPushNanos != null && nowNanos - lastPushNanos < Timing.HEARTBEAT_INTERVAL.toNanos()) {
        return false;
      }
      publication.pushedAtNanos.put(member.incarnation(), nowNanos);
      return true;
    }
  }

  private void push(Fact fact, Publication publication, Member member) {
    PushFacts push =
        PushFacts.newBuilder()
            .setIncarnation(core.self().incarnation())
            .setMembersEpoch(core.record().epoch())
            .addFacts(FactCodec.encode(fact))
            .build();
    link.call(member.peer(), MessageKind.PUSH_FACTS, push.toByteArray(), Timing.CALL_TIMEOUT)
        .thenAccept(result -> onPushed(fact, publication, member, result));
  }

  private void onPushed(
      Fact fact, Publication publication, Member member, Result<byte[], PeerError> result) {
    if (!(result instanceof Result.Ok<byte[], PeerError> ok)) {
      return;
    }
    try {
      PushFactsAnswer response = PushFactsAnswer.parseFrom(ok.value());
      if (!response.getMembers().isEmpty()) {
        HeartbeatResponder.readMembers(response.getMembers()).ifPresent(core::adopt);
      }
      // An acknowledgement of a later epoch counts only once that epoch is known to this host.
      if (response.getIncarnation().equals(member.incarnation())
          && response.getMembersEpoch() <= core.record().epoch()) {
        synchronized (publication) {
          publication.acknowledged.add(member.incarnation());
        }
      }
    } catch (InvalidProtocolBufferException e) {
      // Without an acknowledgement the push is retried.
      return;
    }
    updateAcceptance(fact, publication, core.clock().nanoTime());
  }

  private boolean holds(Fact fact, @Nullable Publication publication, Member member) {
    if (member.incarnation().equals(core.self().incarnation())) {
      return core.contains(fact);
    }
    if (publication != null) {
      synchronized (publication) {
        if (publication.acknowledged.contains(member.incarnation())) {
          return true;
        }
      }
    }
    return core.isHeldBy(member.incarnation(), fact);
  }

  /** Returns whether a fact was published on this host and is still tracked. */
  boolean isPublishedHere(Fact fact) {
    return publications.containsKey(fact);
  }

  /** Returns whether a quorum of the members is known to hold a fact published on this host. */
  boolean isHeldByQuorum(Fact fact) {
    Publication publication = publications.get(fact);
    return core.contains(fact) && core.hasQuorum(m -> holds(fact, publication, m));
  }

  private void updateAcceptance(Fact fact, Publication publication, long nowNanos) {
    MembersRecord record = core.record();
    int acknowledged = 0;
    boolean allHold = true;
    for (Member member : record.members()) {
      boolean held = holds(fact, publication, member);
      acknowledged += held ? 1 : 0;
      allHold &= held;
    }
    // Acknowledgements of an epoch that became known in the meantime do not count for this record.
    boolean accepted =
        core.isFresh()
            && acknowledged >= record.majority()
            && core.record().epoch() == record.epoch();
    PublishResult result;
    Set<CompletableFuture<PublishResult>> completed = new HashSet<>();
    boolean newlyAccepted = false;
    synchronized (publication) {
      if (accepted && !publication.accepted) {
        publication.accepted = true;
        publication.acceptedAtNanos = nowNanos;
        newlyAccepted = true;
      }
      boolean expired = nowNanos - publication.acceptedAtNanos >= Timing.FRESHNESS_EXPIRY.toNanos();
      publication.inForce = publication.accepted && (allHold || expired);
      result = new PublishResult(record.members().size(), acknowledged, publication.accepted);
      publication.deadlinesNanos.forEach(
          (future, deadlineNanos) -> {
            if (publication.accepted || nowNanos - deadlineNanos >= 0) {
              completed.add(future);
            }
          });
      completed.forEach(publication.deadlinesNanos::remove);
    }
    if (newlyAccepted) {
      core.events().log(FleetEvent.FACT_ACCEPTED, acknowledged, record.members().size(), fact);
    }
    completed.forEach(future -> future.complete(result));
  }

  @Override
  public FactStatus status(Fact fact) {
    Publication publication = publications.get(fact);
    MembersRecord record = core.record();
    int acknowledged =
        (int) record.members().stream().filter(m -> holds(fact, publication, m)).count();
    boolean isDurable = durable.test(fact);
    boolean accepted = isDurable || acknowledged >= record.majority();
    boolean inForce = acknowledged == record.members().size();
    if (publication != null) {
      synchronized (publication) {
        accepted |= publication.accepted;
        inForce |= publication.inForce;
      }
    }
    return new FactStatus(
        core.contains(fact), accepted, isDurable, inForce, acknowledged, record.members().size());
  }

  /**
   * Returns how many facts published on this host are tracked: not in force, not durable, or with a
   * caller that waits.
   */
  int pendingCount() {
    return publications.size();
  }
}
