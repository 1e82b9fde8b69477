package verbenahatch.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import verbenahatch.kernel.JsonException;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerHandler;
import verbenahatch.peer.PeerLink;
import verbenahatch.peer.generated.ContactScope;
import verbenahatch.peer.generated.FactMessage;
import verbenahatch.peer.generated.FetchObject;
import verbenahatch.peer.generated.FetchObjectAnswer;
import verbenahatch.peer.generated.ObjectGeneration;
import verbenahatch.peer.generated.PulseAnswer;
import verbenahatch.peer.generated.PulsePoll;
import verbenahatch.peer.generated.PushFacts;
import verbenahatch.peer.generated.PushFactsAnswer;

/** Responds to polls, pushes of facts and fetches of objects. */
final class HeartbeatResponder {

  /**
   * Largest number of facts in one response, at about 100 bytes each, so that a frame stays far
   * below its limit.
   */
  static final int MAX_FACTS_PER_RESPONSE = 4_000;

  private static final int MAX_EPOCH_LAG = 7;

  /** Unit of reported contact ages; a finer unit would need more than a byte per member. */
  static final long AGE_UNIT_NANOS = 16_000_000;

  /**
   * Largest code of a contact age, 4 s. Older contacts make no host fresh and are reported as no
   * contact.
   */
  private static final int MAX_AGE_CODE = 255;

  private final FleetCore core;
  private final ReplicatedObjects objects;
  private final BooleanSupplier storeDown;
  private final Aggregation aggregation;

  HeartbeatResponder(
      FleetCore core,
      ReplicatedObjects objects,
      BooleanSupplier storeDown,
      Aggregation aggregation) {
    this.core = core;
    this.objects = objects;
    this.storeDown = storeDown;
    this.aggregation = aggregation;
  }

  void register(PeerLink link) {
    link.handle(
        MessageKind.PULSE,
        handler((sender, body) -> handlePoll(sender, PulsePoll.parseFrom(body)).toByteArray()));
    link.handle(
        MessageKind.PUSH_FACTS,
        handler((sender, body) -> handlePush(PushFacts.parseFrom(body)).toByteArray()));
    link.handle(
        MessageKind.FETCH_OBJECT,
        handler((sender, body) -> handleFetch(FetchObject.parseFrom(body)).toByteArray()));
  }

  private interface Step {
    byte[] run(String sender, byte[] body) throws InvalidProtocolBufferException;
  }

  private static PeerHandler handler(Step step) {
    return (sender, body) -> {
      try {
        return CompletableFuture.completedFuture(step.run(sender, body));
      } catch (InvalidProtocolBufferException e) {
        return CompletableFuture.failedFuture(e);
      }
    };
  }

  PulseAnswer handlePoll(String sender, PulsePoll poll) {
    if (!poll.getMembers().isEmpty()) {
      readMembers(poll.getMembers()).ifPresent(core::adopt);
    }
    if (poll.getAsAggregator()) {
      aggregation.recordRoleRequest(core.clock().nanoTime());
    }
    // Contacts and facts are read under one lock, so that the response holds the facts that a
    // reported contact implies.
    synchronized (core) {
      return buildResponse(sender, poll);
    }
  }

  private PulseAnswer buildResponse(String sender, PulsePoll poll) {
    Member self = core.self();
    MembersRecord record = core.record();
    boolean isCursorValid = poll.getLog().equals(self.incarnation());
    long cursor = isCursorValid ? poll.getCursor() : 0;
    if (isCursorValid && poll.getMembersEpoch() <= record.epoch()) {
      core.recordHeldFacts(sender, cursor);
    }
    List<Fact> facts = core.factsAfter(cursor, MAX_FACTS_PER_RESPONSE);
    PulseAnswer.Builder response =
        PulseAnswer.newBuilder()
            .setIncarnation(self.incarnation())
            .setMembersEpoch(record.epoch())
            .setSettledEpoch(core.settledEpoch())
            .setFromCursor(cursor)
            .setMore(cursor + facts.size() < core.factCount())
            .setObjectsDigest(objects.digest())
            .setStoreDown(storeDown.getAsBoolean());
    facts.forEach(fact -> response.addFacts(FactCodec.encode(fact)));
    if (poll.getMembersEpoch() < record.epoch()) {
      response.setMembers(ByteString.copyFrom(record.write()));
    }
    if (poll.getObjectsDigest() != objects.digest()) {
      objects
          .generations()
          .forEach(
              (name, generation) ->
                  response.addObjects(
                      ObjectGeneration.newBuilder().setName(name).setGeneration(generation)));
    }
    addContacts(response, record, self, poll.getScope());
    return response.build();
  }

  private void addContacts(
      PulseAnswer.Builder response, MembersRecord record, Member self, ContactScope scope) {
    if (scope == ContactScope.CONTACT_SCOPE_NONE) {
      return;
    }
    byte[] ages = new byte[record.members().size()];
    List<Integer> states = new ArrayList<>(ages.length);
    boolean anyState = false;
    for (int i = 0; i < ages.length; i++) {
      Member member = record.members().get(i);
      boolean isInScope =
          scope == ContactScope.CONTACT_SCOPE_ALL || member.zone().equals(self.zone());
      ages[i] = (byte) (isInScope ? ageCode(member) : 0);
      int state = ages[i] == 0 ? 0 : stateCode(member, record.epoch());
      states.add(state);
      anyState |= state != 0;
    }
    response.setAges(ByteString.copyFrom(ages));
    if (anyState) {
      response.addAllStates(states);
    }
  }

  private int ageCode(Member member) {
    if (core.isReplaced(member.incarnation())) {
      return 1;
    }
    // Rounded up, so that a contact is never reported as newer than it is.
    long units = core.contactAgeNanos(member.incarnation()) / AGE_UNIT_NANOS + 1;
    return units > MAX_AGE_CODE - 2 ? 0 : (int) units + 2;
  }

  private int stateCode(Member member, long epoch) {
    ContactTable.Contact contact = core.contactOf(member.incarnation());
    int lag = (int) Math.min(MAX_EPOCH_LAG, Math.max(0, epoch - contact.epoch()));
    int settledLag = (int) Math.min(MAX_EPOCH_LAG, Math.max(0, epoch - contact.settledEpoch()));
    return (contact.storeDown() ? 1 : 0) | lag << 1 | settledLag << 4;
  }

  /**
   * Returns the epoch that a lag in a state code stands for; 0, for not known, if the lag is the
   * largest one.
   */
  static long epochOf(long epoch, int lag) {
    return lag >= MAX_EPOCH_LAG ? 0 : epoch - lag;
  }

  private PushFactsAnswer handlePush(PushFacts push) {
    core.addFacts(decode(push.getFactsList()));
    MembersRecord record = core.record();
    PushFactsAnswer.Builder response =
        PushFactsAnswer.newBuilder()
            .setIncarnation(core.self().incarnation())
            .setMembersEpoch(record.epoch());
    if (push.getMembersEpoch() < record.epoch()) {
      response.setMembers(ByteString.copyFrom(record.write()));
    }
    return response.build();
  }

  private FetchObjectAnswer handleFetch(FetchObject fetch) {
    ReplicatedObjects.ObjectValue value = objects.get(fetch.getName());
    if (value == null || value.generation() <= fetch.getAboveGeneration()) {
      return FetchObjectAnswer.getDefaultInstance();
    }
    return FetchObjectAnswer.newBuilder()
        .setGeneration(value.generation())
        .setValue(ByteString.copyFrom(value.value()))
        .build();
  }

  static List<Fact> decode(List<FactMessage> messages) {
    List<Fact> facts = new ArrayList<>(messages.size());
    for (FactMessage message : messages) {
      FactCodec.decode(message).ifPresent(facts::add);
    }
    return facts;
  }

  static Optional<MembersRecord> readMembers(ByteString json) {
    try {
      return Optional.of(MembersRecord.read(json.toByteArray()));
    } catch (JsonException e) {
      return Optional.empty();
    }
  }
}
