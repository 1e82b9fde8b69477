package verbenahatch.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.PeerLink;
import verbenahatch.peer.generated.FetchObject;
import verbenahatch.peer.generated.FetchObjectAnswer;
import verbenahatch.peer.generated.ObjectGeneration;
import verbenahatch.peer.generated.PulseAnswer;
import verbenahatch.peer.generated.PulsePoll;

/** Polls the other members and merges their answers. Thread-safe. */
final class PulsePoller {

  /** Polls without an answer after which an aggregator is passed over; 2 span 600 ms. */
  private static final int FAILURES_ALLOWED = 2;

  /** Multiple of the time allowed for failures after which an aggregator passed over is retried. */
  private static final int RETRY_AFTER = 10;

  /** Polls of one peer that may wait for an answer at once. */
  private static final int MAX_PENDING = 4;

  /** What this host remembers of one peer. */
  private static final class Peer {
    private long cursor;
    private int pending;
    private long knownEpoch = Long.MAX_VALUE;
    private long answeredAt;
    private boolean answered;
    private long firstSentAt;
    private boolean sent;
    private boolean refused;
    private long refusedAt;
    private final Set<String> fetching = new HashSet<>();
  }

  private final FleetCore core;
  private final ObjectSpread objects;
  private final PeerLink link;
  private final Aggregation aggregation;
  private final Map<String, Peer> peers = new ConcurrentHashMap<>();
  private final Map<String, Map<String, Long>> reported = new ConcurrentHashMap<>();
  private long lastPulse;
  private boolean started;
  private long pulsedEpoch;

  PulsePoller(FleetCore core, ObjectSpread objects, PeerLink link, Aggregation aggregation) {
    this.core = core;
    this.objects = objects;
    this.link = link;
    this.aggregation = aggregation;
  }

  /** Polls every target if the interval is over, or at once after a change of epoch. */
  void tick() {
    long now = core.clock().nanoTime();
    MembersRecord record = core.record();
    synchronized (this) {
      boolean due =
          !started
              || aggregation.takeNewlyAsked()
              || now - lastPulse >= Timing.PULSE_INTERVAL.toNanos();
      if (!due && record.epoch() == pulsedEpoch) {
        return;
      }
      started = true;
      pulsedEpoch = record.epoch();
      lastPulse = now;
    }
    Set<String> present = new HashSet<>();
    record.members().forEach(m -> present.add(m.incarnation()));
    peers.keySet().retainAll(present);
    reported.keySet().retainAll(present);
    for (Aggregation.Target target :
        aggregation.targets(record, core.self(), now, m -> isUsable(m, now))) {
      poll(target);
    }
  }

  private boolean isUsable(Member member, long now) {
    Peer peer = peers.get(member.incarnation());
    if (peer == null) {
      return !core.isReplaced(member.incarnation());
    }
    synchronized (peer) {
      long since = peer.answered ? peer.answeredAt : peer.firstSentAt;
      long allowed = FAILURES_ALLOWED * Timing.PULSE_INTERVAL.toNanos();
      // A member passed over is tried again after some time, when it may work again.
      if (peer.refused) {
        return now - peer.refusedAt > RETRY_AFTER * allowed;
      }
      long age = now - since;
      return !peer.sent || age <= allowed || age > RETRY_AFTER * allowed;
    }
  }

  private void poll(Aggregation.Target target) {
    Member member = target.member();
    Peer peer = peers.computeIfAbsent(member.incarnation(), i -> new Peer());
    MembersRecord record = core.record();
    PulsePoll.Builder poll =
        PulsePoll.newBuilder()
            .setLog(member.incarnation())
            .setMembersEpoch(record.epoch())
            .setObjectsDigest(objects.digest())
            .setAsAggregator(target.asAggregator())
            .setScope(target.scope());
    long sentAt = core.clock().nanoTime();
    synchronized (peer) {
      if (peer.pending >= MAX_PENDING) {
        return;
      }
      peer.pending++;
      if (!peer.sent || sentAt - peer.firstSentAt > Timing.CALL_TIMEOUT.toNanos() * 10) {
        peer.firstSentAt = sentAt;
      }
      peer.sent = true;
      poll.setCursor(peer.cursor);
      if (peer.knownEpoch < record.epoch()) {
        poll.setMembers(ByteString.copyFrom(record.write()));
      }
    }
    link.call(member.peer(), MessageKind.PULSE, poll.build().toByteArray(), Timing.CALL_TIMEOUT)
        .thenAccept(result -> onResult(target, peer, sentAt, result));
  }

  private void onResult(
      Aggregation.Target target, Peer peer, long sentAt, Result<byte[], PeerError> result) {
    synchronized (peer) {
      peer.pending--;
      peer.refused = !result.isOk() && result.error() instanceof PeerError.NotSent;
      peer.refusedAt = core.clock().nanoTime();
    }
    if (!(result instanceof Result.Ok<byte[], PeerError> ok)) {
      return;
    }
    try {
      onAnswer(target, peer, sentAt, PulseAnswer.parseFrom(ok.value()));
    } catch (InvalidProtocolBufferException e) {
      // An answer that cannot be read is no contact; the age of the contact goes on growing.
      return;
    }
  }

  private void onAnswer(Aggregation.Target target, Peer peer, long sentAt, PulseAnswer answer) {
    Member member = target.member();
    if (!answer.getIncarnation().equals(member.incarnation())) {
      core.markReplaced(member.incarnation(), sentAt);
      return;
    }
    if (!answer.getMembers().isEmpty()) {
      PulseAnswerer.readMembers(answer.getMembers()).ifPresent(core::adopt);
    }
    List<Fact> facts = PulseAnswerer.decode(answer.getFactsList());
    core.addFacts(facts);
    synchronized (peer) {
      peer.cursor = Math.max(peer.cursor, answer.getFromCursor() + answer.getFactsCount());
      peer.knownEpoch = answer.getMembersEpoch();
      peer.answered = true;
      peer.answeredAt = core.clock().nanoTime();
    }
    noteObjects(member, peer, answer);
    if (answer.getMore()) {
      poll(target);
      return;
    }
    if (answer.getMembersEpoch() <= core.record().epoch()) {
      core.recordContacts(contacts(member, sentAt, answer));
    }
  }

  private Map<String, ContactTable.Contact> contacts(
      Member member, long sentAt, PulseAnswer answer) {
    Map<String, ContactTable.Contact> seen = new HashMap<>();
    MembersRecord record = core.record();
    if (answer.getMembersEpoch() == record.epoch()
        && answer.getAges().size() == record.members().size()) {
      for (int i = 0; i < answer.getAges().size(); i++) {
        addReported(seen, record.members().get(i), i, sentAt, answer);
      }
    }
    seen.put(
        member.incarnation(),
        new ContactTable.Contact(
            sentAt, answer.getMembersEpoch(), answer.getSettledEpoch(), answer.getStoreDown()));
    return seen;
  }

  private void addReported(
      Map<String, ContactTable.Contact> seen,
      Member member,
      int index,
      long sentAt,
      PulseAnswer answer) {
    int code = Byte.toUnsignedInt(answer.getAges().byteAt(index));
    if (code == 0) {
      return;
    }
    if (code == 1) {
      core.markReplaced(member.incarnation(), sentAt);
      return;
    }
    int state = answer.getStatesCount() > index ? answer.getStates(index) : 0;
    long epoch = answer.getMembersEpoch();
    seen.put(
        member.incarnation(),
        new ContactTable.Contact(
            sentAt - (code - 2) * PulseAnswerer.AGE_UNIT_NANOS,
            PulseAnswerer.epochOf(epoch, state >> 1 & 7),
            PulseAnswerer.epochOf(epoch, state >> 4 & 7),
            (state & 1) != 0));
  }

  private void noteObjects(Member member, Peer peer, PulseAnswer answer) {
    if (answer.getObjectsDigest() == objects.digest()) {
      reported.put(member.incarnation(), objects.generations());
      return;
    }
    Map<String, Long> generations = new HashMap<>();
    for (ObjectGeneration object : answer.getObjectsList()) {
      generations.put(object.getName(), object.getGeneration());
      if (objects.covers(object.getName())
          && object.getGeneration() > objects.generation(object.getName())) {
        fetch(member, peer, object.getName());
      }
    }
    if (answer.getObjectsCount() > 0) {
      reported.put(member.incarnation(), generations);
    }
  }

  private void fetch(Member member, Peer peer, String name) {
    synchronized (peer) {
      if (!peer.fetching.add(name)) {
        return;
      }
    }
    FetchObject fetch =
        FetchObject.newBuilder().setName(name).setAboveGeneration(objects.generation(name)).build();
    link.call(member.peer(), MessageKind.FETCH_OBJECT, fetch.toByteArray(), Timing.CALL_TIMEOUT)
        .thenAccept(
            result -> {
              synchronized (peer) {
                peer.fetching.remove(name);
              }
              onFetched(member, name, result);
            });
  }

  private void onFetched(Member member, String name, Result<byte[], PeerError> result) {
    if (!(result instanceof Result.Ok<byte[], PeerError> ok)) {
      return;
    }
    try {
      FetchObjectAnswer answer = FetchObjectAnswer.parseFrom(ok.value());
      if (answer.getGeneration() > 0) {
        objects.offer(name, answer.getValue().toByteArray(), member.host());
      }
    } catch (InvalidProtocolBufferException e) {
      // The next pulse names the generation again, which repeats the fetch.
      return;
    }
  }

  /** Returns the generations that each polled peer reported last. */
  Map<String, Map<String, Long>> reported() {
    return Map.copyOf(reported);
  }
}
