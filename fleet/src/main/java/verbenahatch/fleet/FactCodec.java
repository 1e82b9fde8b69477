package verbenahatch.fleet;

import java.util.Optional;
import verbenahatch.peer.generated.FactMessage;
import verbenahatch.peer.generated.HostFencedFact;
import verbenahatch.peer.generated.KeyWithdrawnFact;
import verbenahatch.peer.generated.ReleaseHaltedFact;

/** Converts facts to and from protobuf messages. */
final class FactCodec {

  private FactCodec() {}

  static FactMessage encode(Fact fact) {
    FactMessage.Builder message = FactMessage.newBuilder();
    if (fact instanceof Fact.KeyWithdrawn f) {
      message.setKeyWithdrawn(
          KeyWithdrawnFact.newBuilder().setEnvironment(f.environment()).setKeyHash(f.keyHash()));
    } else if (fact instanceof Fact.HostFenced f) {
      message.setHostFenced(HostFencedFact.newBuilder().setIncarnation(f.incarnation()));
    } else if (fact instanceof Fact.ReleaseHalted f) {
      message.setReleaseHalted(
          ReleaseHaltedFact.newBuilder().setRelease(f.release()).setReason(f.reason()));
    }
    return message.build();
  }

  /** Returns the fact, empty if its kind is known only to newer versions of the software. */
  static Optional<Fact> decode(FactMessage message) {
    if (message.hasKeyWithdrawn()) {
      KeyWithdrawnFact f = message.getKeyWithdrawn();
      return Optional.of(new Fact.KeyWithdrawn(f.getEnvironment(), f.getKeyHash()));
    }
    if (message.hasHostFenced()) {
      return Optional.of(new Fact.HostFenced(message.getHostFenced().getIncarnation()));
    }
    if (message.hasReleaseHalted()) {
      ReleaseHaltedFact f = message.getReleaseHalted();
      return Optional.of(new Fact.ReleaseHalted(f.getRelease(), f.getReason()));
    }
    return Optional.empty();
  }
}
