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

/** Polls the other members and merges their responses. Thread-safe. */
final class HeartbeatPoller {

  /** Missed polls after which a member is not selected as an aggregator; 2 polls take 600 ms. */
  private static final int MAX_MISSED_POLLS = 2;

  /**
   * Multiple of the time of the allowed missed polls after which such a member is selected again.
   */
  private static final int RETRY_FACTOR = 10;

  /** Largest number of polls of one peer in flight at once. */
  private static final int MAX_PENDING_POLLS = 4;

  /** The state of the polls of one peer. */
  private static final class PeerState {
    private long cursor;
    private int pendingPolls;
    private long reportedEpoch = Long.MAX_VALUE;
    private long lastResponseNanos;
    private boolean hasResponded;
    private long firstSentAtNanos;
    private boolean everPolled;
    private boolean lastPollNotSent;
    private long lastResultNanos;
    private final Set<String> pendingFetches = new HashSet<>();
  }

  private final FleetCore core;
  private final ReplicatedObjects objects;
  private final PeerLink link;
  private final Aggregation aggregation;
  private final Map<String, PeerState> peers = new ConcurrentHashMap<>();
  private final Map<String, Map<String, Long>> reportedGenerations = new ConcurrentHashMap<>();
  private long lastPollNanos;
  private boolean pollingStarted;
  private long polledEpoch;

  HeartbeatPoller(
      FleetCore core, ReplicatedObjects objects, PeerLink link, Aggregation aggregation) {
    this.core = core;
    this.objects = objects;
    this.link = link;
    this.aggregation = aggregation;
  }

  /**
   * Polls every selected member if the interval is over, or at once after a change of epoch or the
   * start of the aggregator role.
   */
  void tick() {
    long nowNanos = core.clock().nanoTime();
    MembersRecord record = core.record();
    synchronized (this) {
      boolean due =
          !pollingStarted
              || aggregation.takeRoleStarted()
              || nowNanos - lastPollNanos >= Timing.HEARTBEAT_INTERVAL.toNanos();
      if (!due && record.epoch() == polledEpoch) {
        return;
      }
      pollingStarted = true;
      polledEpoch = record.epoch();
      lastPollNanos = nowNanos;
    }
    Set<String> memberIncarnations = new HashSet<>();
    record.members().forEach(m -> memberIncarnations.add(m.incarnation()));
    peers.keySet().retainAll(memberIncarnations);
    reportedGenerations.keySet().retainAll(memberIncarnations);
    for (Aggregation.PollTarget target :
        aggregation.pollTargets(record, core.self(), nowNanos, m -> isUsable(m, nowNanos))) {
      poll(target);
    }
  }

  private boolean isUsable(Member member, long nowNanos) {
    PeerState peer = peers.get(member.incarnation());
    if (peer == null) {
      return !core.isReplaced(member.incarnation());
    }
    synchronized (peer) {
      long lastActivityNanos = peer.hasResponded ? peer.lastResponseNanos : peer.firstSentAtNanos;
      long allowedNanos = MAX_MISSED_POLLS * Timing.HEARTBEAT_INTERVAL.toNanos();
      // An unusable member is retried after some time, when it may respond again.
      if (peer.lastPollNotSent) {
        return nowNanos - peer.lastResultNanos > RETRY_FACTOR * allowedNanos;
      }
      long ageNanos = nowNanos - lastActivityNanos;
      return !peer.everPolled || ageNanos <= allowedNanos || ageNanos > RETRY_FACTOR * allowedNanos;
    }
  }

  private void poll(Aggregation.PollTarget target) {
    Member member = target.member();
    PeerState peer = peers.computeIfAbsent(member.incarnation(), i -> new PeerState());
    MembersRecord record = core.record();
    PulsePoll.Builder poll =
        PulsePoll.newBuilder()
            .setLog(member.incarnation())
            .setMembersEpoch(record.epoch())
            .setObjectsDigest(objects.digest())
            .setAsAggregator(target.asAggregator())
            .setScope(target.scope());
    long sentAtNanos = core.clock().nanoTime();
    synchronized (peer) {
      if (peer.pendingPolls >= MAX_PENDING_POLLS) {
        return;
      }
      peer.pendingPolls++;
      if (!peer.everPolled
          || sentAtNanos - peer.firstSentAtNanos > Timing.CALL_TIMEOUT.toNanos() * 10) {
        peer.firstSentAtNanos = sentAtNanos;
      }
      peer.everPolled = true;
      poll.setCursor(peer.cursor);
      if (peer.reportedEpoch < record.epoch()) {
        poll.setMembers(ByteString.copyFrom(record.write()));
      }
    }
    link.call(member.peer(), MessageKind.PULSE, poll.build().toByteArray(), Timing.CALL_TIMEOUT)
        .thenAccept(result -> onResult(target, peer, sentAtNanos, result));
  }

  private void onResult(
      Aggregation.PollTarget target,
      PeerState peer,
      long sentAtNanos,
      Result<byte[], PeerError> result) {
    synchronized (peer) {
      peer.pendingPolls--;
      peer.lastPollNotSent = !result.isOk() && result.error() instanceof PeerError.NotSent;
      peer.lastResultNanos = core.clock().nanoTime();
    }
    if (!(result instanceof Result.Ok<byte[], PeerError> ok)) {
      return;
    }
    try {
      onResponse(target, peer, sentAtNanos, PulseAnswer.parseFrom(ok.value()));
    } catch (InvalidProtocolBufferException e) {
      // A response that cannot be parsed is no contact, so the contact age keeps increasing.
      return;
    }
  }

  private void onResponse(
      Aggregation.PollTarget target, PeerState peer, long sentAtNanos, PulseAnswer response) {
    Member member = target.member();
    if (!response.getIncarnation().equals(member.incarnation())) {
      core.markReplaced(member.incarnation(), sentAtNanos);
      return;
    }
    if (!response.getMembers().isEmpty()) {
      HeartbeatResponder.readMembers(response.getMembers()).ifPresent(core::adopt);
    }
    List<Fact> facts = HeartbeatResponder.decode(response.getFactsList());
    core.addFacts(facts);
    synchronized (peer) {
      peer.cursor = Math.max(peer.cursor, response.getFromCursor() + response.getFactsCount());
      peer.reportedEpoch = response.getMembersEpoch();
      peer.hasResponded = true;
      peer.lastResponseNanos = core.clock().nanoTime();
    }
    recordObjects(member, peer, response);
    if (response.getMore()) {
      poll(target);
      return;
    }
    if (response.getMembersEpoch() <= core.record().epoch()) {
      core.recordContacts(contacts(member, sentAtNanos, response));
    }
  }

  private Map<String, ContactTable.Contact> contacts(
      Member member, long sentAtNanos, PulseAnswer response) {
    Map<String, ContactTable.Contact> newContacts = new HashMap<>();
    MembersRecord record = core.record();
    if (response.getMembersEpoch() == record.epoch()
        && response.getAges().size() == record.members().size()) {
      for (int i = 0; i < response.getAges().size(); i++) {
        addReported(newContacts, record.members().get(i), i, sentAtNanos, response);
      }
    }
    newContacts.put(
        member.incarnation(),
        new ContactTable.Contact(
            sentAtNanos,
            response.getMembersEpoch(),
            response.getSettledEpoch(),
            response.getStoreDown()));
    return newContacts;
  }

  private void addReported(
      Map<String, ContactTable.Contact> newContacts,
      Member member,
      int index,
      long sentAtNanos,
      PulseAnswer response) {
    int code = Byte.toUnsignedInt(response.getAges().byteAt(index));
    if (code == 0) {
      return;
    }
    if (code == 1) {
      core.markReplaced(member.incarnation(), sentAtNanos);
      return;
    }
    int state = response.getStatesCount() > index ? response.getStates(index) : 0;
    long epoch = response.getMembersEpoch();
    newContacts.put(
        member.incarnation(),
        new ContactTable.Contact(
            sentAtNanos - (code - 2) * HeartbeatResponder.AGE_UNIT_NANOS,
            HeartbeatResponder.epochOf(epoch, state >> 1 & 7),
            HeartbeatResponder.epochOf(epoch, state >> 4 & 7),
            (state & 1) != 0));
  }

  private void recordObjects(Member member, PeerState peer, PulseAnswer response) {
    if (response.getObjectsDigest() == objects.digest()) {
      reportedGenerations.put(member.incarnation(), objects.generations());
      return;
    }
    Map<String, Long> generations = new HashMap<>();
    for (ObjectGeneration object : response.getObjectsList()) {
      generations.put(object.getName(), object.getGeneration());
      if (objects.isReplicated(object.getName())
          && object.getGeneration() > objects.generation(object.getName())) {
        fetch(member, peer, object.getName());
      }
    }
    if (response.getObjectsCount() > 0) {
      reportedGenerations.put(member.incarnation(), generations);
    }
  }

  private void fetch(Member member, PeerState peer, String name) {
    synchronized (peer) {
      if (!peer.pendingFetches.add(name)) {
        return;
      }
    }
    FetchObject fetch =
        FetchObject.newBuilder().setName(name).setAboveGeneration(objects.generation(name)).build();
    link.call(member.peer(), MessageKind.FETCH_OBJECT, fetch.toByteArray(), Timing.CALL_TIMEOUT)
        .thenAccept(
            result -> {
              synchronized (peer) {
                peer.pendingFetches.remove(name);
              }
              onFetched(member, name, result);
            });
  }

  private void onFetched(Member member, String name, Result<byte[], PeerError> result) {
    if (!(result instanceof Result.Ok<byte[], PeerError> ok)) {
      return;
    }
    try {
      FetchObjectAnswer response = FetchObjectAnswer.parseFrom(ok.value());
      if (response.getGeneration() > 0) {
        objects.offer(name, response.getValue().toByteArray(), member.host());
      }
    } catch (InvalidProtocolBufferException e) {
      // The next poll reports the generation again, which retries the fetch.
      return;
    }
  }

  /**
   * Returns the generations that each polled peer reported last, by incarnation and object name.
   */
  Map<String, Map<String, Long>> reportedGenerations() {
    return Map.copyOf(reportedGenerations);
  }
}
