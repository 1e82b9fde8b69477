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
 * Pushes facts published here to every member and follows their acknowledgements. Thread-safe.
 *
 * <p>A fact is in force {@link Timing#LAPSE_WAIT} after its acceptance at the latest: a member that
 * does not hold it by then has had no contact with a majority since, and is not fresh.
 */
final class FactSpreader implements Facts {

  /** A fact published by this host. */
  private static final class Tracked {
    private final Set<String> acknowledged = new HashSet<>();
    private final Map<String, Long> pushedAt = new HashMap<>();
    private final Map<CompletableFuture<PublishResult>, Long> waiting = new HashMap<>();
    private long acceptedAt;
    private boolean accepted;
    private boolean inForce;
  }

  private final FleetCore core;
  private final PeerLink link;
  private final Predicate<Fact> durable;
  private final Map<Fact, Tracked> tracked = new ConcurrentHashMap<>();

  FactSpreader(FleetCore core, PeerLink link, Predicate<Fact> durable) {
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
    Tracked state = tracked.computeIfAbsent(fact, f -> new Tracked());
    synchronized (state) {
      state.waiting.put(future, core.clock().nanoTime() + timeout.toNanos());
    }
    advance(fact, state);
    return future;
  }

  /** Pushes again what was not acknowledged, and completes what is accepted or too late. */
  void tick() {
    tracked.forEach(this::advance);
    tracked.entrySet().removeIf(entry -> isFinished(entry.getKey(), entry.getValue()));
  }

  private boolean isFinished(Fact fact, Tracked state) {
    if (fact instanceof Fact.HostFenced fenced && core.record().contains(fenced.incarnation())) {
      return false;
    }
    // While the store is down the state stays, so that the status of the fact stays known here.
    if (!(fact instanceof Fact.HostFenced) && !durable.test(fact)) {
      return false;
    }
    synchronized (state) {
      return state.inForce && state.waiting.isEmpty();
    }
  }

  private void advance(Fact fact, Tracked state) {
    MembersRecord record = core.record();
    long now = core.clock().nanoTime();
    for (Member member : record.members()) {
      if (isDue(fact, state, member, now)) {
        push(fact, state, member);
      }
    }
    conclude(fact, state, now);
  }

  private boolean isDue(Fact fact, Tracked state, Member member, long now) {
    if (holds(fact, state, member) || member.peer().equals(core.self().peer())) {
      return false;
    }
    synchronized (state) {
      Long last = state.pushedAt.get(member.incarnation());
      if (last != null && now - last < Timing.PULSE_INTERVAL.toNanos()) {
        return false;
      }
      state.pushedAt.put(member.incarnation(), now);
      return true;
    }
  }

  private void push(Fact fact, Tracked state, Member member) {
    PushFacts push =
        PushFacts.newBuilder()
            .setIncarnation(core.self().incarnation())
            .setMembersEpoch(core.record().epoch())
            .addFacts(FactCodec.encode(fact))
            .build();
    link.call(member.peer(), MessageKind.PUSH_FACTS, push.toByteArray(), Timing.CALL_TIMEOUT)
        .thenAccept(result -> onPushed(fact, state, member, result));
  }

  private void onPushed(Fact fact, Tracked state, Member member, Result<byte[], PeerError> result) {
    if (!(result instanceof Result.Ok<byte[], PeerError> ok)) {
      return;
    }
    try {
      PushFactsAnswer answer = PushFactsAnswer.parseFrom(ok.value());
      if (!answer.getMembers().isEmpty()) {
        PulseAnswerer.readMembers(answer.getMembers()).ifPresent(core::adopt);
      }
      // An acknowledgement of a later epoch counts only once that epoch is known here.
      if (answer.getIncarnation().equals(member.incarnation())
          && answer.getMembersEpoch() <= core.record().epoch()) {
        synchronized (state) {
          state.acknowledged.add(member.incarnation());
        }
      }
    } catch (InvalidProtocolBufferException e) {
      // Without an acknowledgement the push is repeated.
      return;
    }
    conclude(fact, state, core.clock().nanoTime());
  }

  private boolean holds(Fact fact, @Nullable Tracked state, Member member) {
    if (member.incarnation().equals(core.self().incarnation())) {
      return core.contains(fact);
    }
    if (state != null) {
      synchronized (state) {
        if (state.acknowledged.contains(member.incarnation())) {
          return true;
        }
      }
    }
    return core.isHeldBy(member.incarnation(), fact);
  }

  /** Tells whether this host pushes a fact at present. */
  boolean isPublished(Fact fact) {
    return tracked.containsKey(fact);
  }

  /** Tells whether a quorum of the members holds a fact published by this host. */
  boolean isHeldByQuorum(Fact fact) {
    Tracked state = tracked.get(fact);
    return core.contains(fact) && core.hasQuorum(m -> holds(fact, state, m));
  }

  private void conclude(Fact fact, Tracked state, long now) {
    MembersRecord record = core.record();
    int acknowledged = 0;
    boolean all = true;
    for (Member member : record.members()) {
      boolean held = holds(fact, state, member);
      acknowledged += held ? 1 : 0;
      all &= held;
    }
    // Acknowledgements of an epoch that became known meanwhile say nothing about this record.
    boolean accepted =
        core.isFresh()
            && acknowledged >= record.majority()
            && core.record().epoch() == record.epoch();
    PublishResult spread;
    Set<CompletableFuture<PublishResult>> finished = new HashSet<>();
    boolean first = false;
    synchronized (state) {
      if (accepted && !state.accepted) {
        state.accepted = true;
        state.acceptedAt = now;
        first = true;
      }
      boolean lapsed = now - state.acceptedAt >= Timing.LAPSE_WAIT.toNanos();
      state.inForce = state.accepted && (all || lapsed);
      spread = new PublishResult(record.members().size(), acknowledged, state.accepted);
      state.waiting.forEach(
          (future, deadline) -> {
            if (state.accepted || now - deadline >= 0) {
              finished.add(future);
            }
          });
      finished.forEach(state.waiting::remove);
    }
    if (first) {
      core.events().log(FleetEvent.FACT_ACCEPTED, acknowledged, record.members().size(), fact);
    }
    finished.forEach(future -> future.complete(spread));
  }

  @Override
  public FactStatus status(Fact fact) {
    Tracked state = tracked.get(fact);
    MembersRecord record = core.record();
    int acknowledged = (int) record.members().stream().filter(m -> holds(fact, state, m)).count();
    boolean isDurable = durable.test(fact);
    boolean accepted = isDurable || acknowledged >= record.majority();
    boolean inForce = acknowledged == record.members().size();
    if (state != null) {
      synchronized (state) {
        accepted |= state.accepted;
        inForce |= state.inForce;
      }
    }
    return new FactStatus(
        core.contains(fact), accepted, isDurable, inForce, acknowledged, record.members().size());
  }

  /** Returns how many facts published here are not in force yet. */
  int pending() {
    return tracked.size();
  }
}
