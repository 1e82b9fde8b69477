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
 * Tries once to make this host the home of a group.
 *
 * <p>Reads the record, closes its epoch at every live member, and writes the next epoch if the
 * record is unchanged. The order matters: a member that has closed an epoch takes no part in its
 * transfers any more, so the shares it reported stay true until the next epoch begins. Thread-safe.
 */
final class Election {

  /** Receives the outcome. */
  interface Outcome {

    /**
     * The write succeeded.
     *
     * @param epoch the new epoch
     * @param reports the shares held, by incarnation
     * @param closedAt when the last member had closed or was gone, in nanoseconds of the monotonic
     *     clock
     */
    void won(long epoch, Map<String, List<ShareLine>> reports, long closedAt);

    /** Another host is the home. */
    void lost(long epoch, String home);

    /** The try ended without a home, to be repeated later. */
    void failed();

    /** Closes an epoch at this host. */
    CloseReport closeHere(long epoch);
  }

  /** Longest wait for an answer; a round trip between regions takes 70 ms. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(300);

  /** Time between two events about members that have not closed the epoch. */
  private static final long REPORT_PERIOD_NANOS = 5_000_000_000L;

  private enum Phase {
    READING,
    CLOSING,
    WRITING,
    SETTLING,
    OVER
  }

  private final int group;
  private final LimitsContext context;
  private final boolean renewOwn;
  private final Outcome outcome;
  private final String self;
  private final String writeId = UUID.randomUUID().toString();
  private final Map<String, List<ShareLine>> reports = new HashMap<>();
  private final Set<String> asked = new HashSet<>();
  private final Set<String> missing = new HashSet<>();
  private Phase phase = Phase.READING;
  private long epoch;
  private long version;
  private long closedAt;
  private long reportAt;

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
    boolean own = record.home().equals(self);
    if (own ? !renewOwn : context.members().canBeHome(record.home())) {
      finish();
      outcome.lost(record.epoch(), record.home());
      return;
    }
    begin(record.epoch(), object.version());
  }

  private void begin(long closing, long readVersion) {
    synchronized (this) {
      epoch = closing;
      version = readVersion;
      phase = Phase.CLOSING;
      reportAt = context.clock().nanoTime() + REPORT_PERIOD_NANOS;
      missing.addAll(context.members().live().keySet());
      missing.add(self);
    }
    tick();
  }

  /** Repeats what got no answer. */
  void tick() {
    switch (phase()) {
      case CLOSING -> closeMissing();
      case SETTLING -> context.storeCalls().execute(this::settle);
      default -> {}
    }
  }

  private synchronized Phase phase() {
    return phase;
  }

  private void closeMissing() {
    Set<String> open = new HashSet<>();
    Map<String, Member> members = context.members().live();
    synchronized (this) {
      reportMissing();
      missing.removeIf(one -> !one.equals(self) && !members.containsKey(one));
      for (String one : missing) {
        if (asked.add(one)) {
          open.add(one);
        }
      }
    }
    for (String one : open) {
      Member member = members.get(one);
      if (one.equals(self)) {
        closed(one, outcome.closeHere(epoch));
      } else if (member != null) {
        sendClose(member);
      }
    }
    writeIfClosed();
  }

  private void reportMissing() {
    long now = context.clock().nanoTime();
    if (now - reportAt >= 0) {
      reportAt = now + REPORT_PERIOD_NANOS;
      missing.forEach(one -> context.events().log(LimitsEvent.CLOSE_WAITING, group, one, epoch));
    }
  }

  private void sendClose(Member member) {
    byte[] body = CloseShares.newBuilder().setGroup(group).setEpoch(epoch).build().toByteArray();
    context
        .link()
        .call(member.peer(), MessageKind.CLOSE_SHARES, body, CLOSE_TIMEOUT)
        .thenAccept(result -> answered(member.incarnation(), result));
  }

  private void answered(String incarnation, Result<byte[], PeerError> result) {
    CloseReport report = result.isOk() ? Messages.read(CloseReport.parser(), result.get()) : null;
    if (report == null) {
      synchronized (this) {
        asked.remove(incarnation);
      }
      return;
    }
    closed(incarnation, report);
    writeIfClosed();
  }

  private void closed(String incarnation, CloseReport report) {
    synchronized (this) {
      if (phase != Phase.CLOSING) {
        return;
      }
      if (report.getClosed()) {
        reports.put(incarnation, report.getLinesList());
        missing.remove(incarnation);
        return;
      }
      phase = Phase.OVER;
    }
    outcome.failed();
  }

  private void writeIfClosed() {
    synchronized (this) {
      if (phase != Phase.CLOSING || !missing.isEmpty()) {
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
      context.events().log(LimitsEvent.HOME_CONFLICT, group, epoch);
      finish();
      outcome.failed();
    } else {
      fail(written.error());
    }
  }

  /** Reads back the write whose answer was lost. */
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
    context.events().log(LimitsEvent.HOME_STORE_FAILED, group, error.toString());
    finish();
    outcome.failed();
  }

  private synchronized void finish() {
    phase = Phase.OVER;
  }
}
