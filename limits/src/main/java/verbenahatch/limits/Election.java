package verbenahatch.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.generated.CloseReport;
import verbenahatch.peer.generated.CloseShares;
import verbenahatch.peer.generated.ShareLine;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;

/**
 * Runs one attempt to make this host the coordinator of a group.
 *
 * <p>Reads the stored record, closes its epoch at every live member, and writes the next epoch if
 * the record is unchanged. The order matters: a member that has closed an epoch makes no more
 * transfers in it, so the shares it reported stay correct until the next epoch begins. Thread-safe.
 */
final class Election {

  /** Receives the outcome of the attempt. */
  interface Outcome {

    /**
     * This host became the coordinator.
     *
     * @param epoch the new epoch
     * @param reports the shares that members reported, by incarnation
     * @param closedAt when the last member had closed the epoch or had expired, in nanoseconds of
     *     the monotonic clock
     */
    void won(long epoch, Map<String, List<ShareLine>> reports, long closedAt);

    /** Another host is the coordinator. */
    void lost(long epoch, String coordinator);

    /** The attempt ended without a coordinator; the caller repeats it later. */
    void failed();

    /** Closes an epoch at this host and returns the shares held. */
    CloseReport closeLocally(long epoch);
  }

  /** Timeout of a close request; a round trip between regions takes 70 ms. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(300);

  /** Time between two log events about members that have not closed the epoch. */
  private static final long LOG_PERIOD_NANOS = 5_000_000_000L;

  private enum Phase {
    READING,
    CLOSING,
    WRITING,
    SETTLING,
    FINISHED
  }

  private final int group;
  private final LimitsContext context;
  private final boolean renewOwn;
  private final Outcome outcome;
  private final String self;
  private final String writeId = UUID.randomUUID().toString();
  private final Map<String, List<ShareLine>> reports = new HashMap<>();
  private final Set<String> requested = new HashSet<>();
  private final Set<String> unclosed = new HashSet<>();
  private Phase phase = Phase.READING;
  private long epoch;
  private long version;
  private long closedAt;
  private long nextLogAt;

  Election(int group, LimitsContext context, String self, boolean renewOwn, Outcome outcome) {
    this.group = group;
    this.context = context;
    this.self = self;
    this.renewOwn = renewOwn;
    this.outcome = outcome;
  }

  void start() {
    context.storeCalls().execute(this::read);
  }

  private void read() {
    Result<StoredObject, StoreError> read = context.store().get(ShareRecord.objectName(group));
    if (read instanceof Result.Ok<StoredObject, StoreError> ok) {
      decide(ok.value());
    } else if (read.error() instanceof StoreError.NotFound) {
      begin(0, 0);
    } else {
      fail(read.error());
    }
  }

  private void decide(StoredObject object) {
    ShareRecord record;
    try {
      record = Json.read(object.value(), ShareRecord.class);
    } catch (JsonException e) {
      context.events().log(LimitsEvent.RECORD_INVALID, group, String.valueOf(e.getMessage()));
      finish();
      outcome.failed();
      return;
    }
    boolean isOwn = record.home().equals(self);
    if (isOwn ? !renewOwn : context.members().canCoordinate(record.home())) {
      finish();
      outcome.lost(record.epoch(), record.home());
      return;
    }
    begin(record.epoch(), object.version());
  }

  private void begin(long closingEpoch, long readVersion) {
    synchronized (this) {
      epoch = closingEpoch;
      version = readVersion;
      phase = Phase.CLOSING;
      nextLogAt = context.clock().nanoTime() + LOG_PERIOD_NANOS;
      unclosed.addAll(context.members().live().keySet());
      unclosed.add(self);
    }
    tick();
  }

  /** Repeats requests that got no response. */
  void tick() {
    switch (phase()) {
      case CLOSING -> closeUnclosed();
      case SETTLING -> context.storeCalls().execute(this::settle);
      default -> {}
    }
  }

  private synchronized Phase phase() {
    return phase;
  }

  private void closeUnclosed() {
    Set<String> toClose = new HashSet<>();
    Map<String, Member> members = context.members().live();
    synchronized (this) {
      logUnclosed();
      unclosed.removeIf(
          incarnation -> !incarnation.equals(self) && !members.containsKey(incarnation));
      for (String incarnation : unclosed) {
        if (requested.add(incarnation)) {
          toClose.add(incarnation);
        }
      }
    }
    for (String incarnation : toClose) {
      Member member = members.get(incarnation);
      if (incarnation.equals(self)) {
        recordClosed(incarnation, outcome.closeLocally(epoch));
      } else if (member != null) {
        sendClose(member);
      }
    }
    writeIfClosed();
  }

  private void logUnclosed() {
    long now = context.clock().nanoTime();
    if (now - nextLogAt >= 0) {
      nextLogAt = now + LOG_PERIOD_NANOS;
      unclosed.forEach(
          incarnation ->
              context.events().log(LimitsEvent.CLOSE_WAITING, group, incarnation, epoch));
    }
  }

  private void sendClose(Member member) {
    byte[] body = CloseShares.newBuilder().setGroup(group).setEpoch(epoch).build().toByteArray();
    context
        .link()
        .call(member.peer(), MessageKind.CLOSE_SHARES, body, CLOSE_TIMEOUT)
        .thenAccept(result -> onResponse(member.incarnation(), result));
  }

  private void onResponse(String incarnation, Result<byte[], PeerError> result) {
    CloseReport report = result.isOk() ? Messages.read(CloseReport.parser(), result.get()) : null;
    if (report == null) {
      synchronized (this) {
        requested.remove(incarnation);
      }
      return;
    }
    recordClosed(incarnation, report);
    writeIfClosed();
  }

  private void recordClosed(String incarnation, CloseReport report) {
    synchronized (this) {
      if (phase != Phase.CLOSING) {
        return;
      }
      if (report.getClosed()) {
        reports.put(incarnation, report.getLinesList());
        unclosed.remove(incarnation);
        return;
      }
      phase = Phase.FINISHED;
    }
    outcome.failed();
  }

  private void writeIfClosed() {
    synchronized (this) {
      if (phase != Phase.CLOSING || !unclosed.isEmpty()) {
        return;
      }
      phase = Phase.WRITING;
      closedAt = context.clock().nanoTime();
    }
    context.storeCalls().execute(this::write);
  }

  private void write() {
    byte[] value = Json.write(new ShareRecord(epoch + 1, self));
    Result<StoredObject, StoreError> written =
        context.store().put(ShareRecord.objectName(group), value, version, writeId);
    if (written.isOk()) {
      win();
    } else if (written.error() instanceof StoreError.Unsettled) {
      synchronized (this) {
        phase = Phase.SETTLING;
      }
    } else if (written.error() instanceof StoreError.Conflict) {
      context.events().log(LimitsEvent.ELECTION_CONFLICT, group, epoch);
      finish();
      outcome.failed();
    } else {
      fail(written.error());
    }
  }

  /** Reads the record back after a write whose response was lost. */
  private void settle() {
    Result<StoredObject, StoreError> read = context.store().get(ShareRecord.objectName(group));
    if (phase() != Phase.SETTLING) {
      return;
    }
    if (read.isOk() && read.get().writeId().equals(writeId)) {
      win();
    } else if (read.isOk() || read.error() instanceof StoreError.NotFound) {
      finish();
      outcome.failed();
    }
  }

  private void win() {
    finish();
    outcome.won(epoch + 1, Map.copyOf(reports), closedAt);
  }

  private void fail(StoreError error) {
    context.events().log(LimitsEvent.ELECTION_STORE_FAILED, group, error.toString());
    finish();
    outcome.failed();
  }

  private synchronized void finish() {
    phase = Phase.FINISHED;
  }
}
