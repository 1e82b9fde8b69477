package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import org.junit.jupiter.api.Test;
import verbenahatch.model.KeyHash;
import verbenahatch.model.KeyRecord;
import verbenahatch.model.KeyRing;

class KeyTableTest {

  private boolean fresh = true;
  private final KeyTable table = new KeyTable("production", () -> fresh);

  private static KeyRecord record(String key, boolean withdrawn) {
    return new KeyRecord(KeyHash.of(key), "blue", 1, withdrawn ? 2L : null);
  }

  /** Guards against a key that is assigned to another workspace or to none. */
  @Test
  void issuedKeyIsValidAndOthersAreUnknown() {
    table.load(new KeyRing(1, List.of(record("vh_a", false), record("vh_b", true))));
    assertEquals(new KeyCheck.Valid("blue", KeyHash.of("vh_a")), table.check("vh_a"));
    assertInstanceOf(KeyCheck.Withdrawn.class, table.check("vh_b"));
    assertInstanceOf(KeyCheck.Unknown.class, table.check("vh_c"));
    assertInstanceOf(KeyCheck.Unknown.class, table.check(null));
    assertInstanceOf(KeyCheck.Unknown.class, table.check(""));
    assertInstanceOf(KeyCheck.Unknown.class, table.recheck("ab"));
  }

  /** Guards against a withdrawal that is reverted by a record written before it. */
  @Test
  void withdrawalIsKeptWhenRecordIsAdopted() {
    table.apply(new Fact.KeyWithdrawn("production", KeyHash.of("vh_a")));
    table.load(new KeyRing(9, List.of(record("vh_a", false))));
    assertInstanceOf(KeyCheck.Withdrawn.class, table.recheck(KeyHash.of("vh_a")));
  }

  /**
   * Guards against a withdrawal in the trial environment that blocks the same key in another one.
   */
  @Test
  void factOfAnotherEnvironmentHasNoEffect() {
    table.load(new KeyRing(1, List.of(record("vh_a", false))));
    table.apply(new Fact.KeyWithdrawn("trial", KeyHash.of("vh_a")));
    assertInstanceOf(KeyCheck.Valid.class, table.check("vh_a"));
  }

  /** Guards against a host that is not fresh and still reports keys as valid or unknown. */
  @Test
  void hostThatIsNotFreshReportsNotFresh() {
    table.load(new KeyRing(1, List.of(record("vh_a", false))));
    fresh = false;
    assertInstanceOf(KeyCheck.NotFresh.class, table.check("vh_a"));
    assertInstanceOf(KeyCheck.NotFresh.class, table.check("vh_c"));
  }
}
