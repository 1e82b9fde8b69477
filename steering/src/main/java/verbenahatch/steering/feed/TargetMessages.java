package verbenahatch.steering.feed;

import verbenahatch.peer.generated.FeedObject;
import verbenahatch.peer.generated.FeedTarget;
import verbenahatch.steering.model.TargetRecord;

/** Converts entries of the registry of targets to messages and back. Stateless. */
public final class TargetMessages implements FeedMessages<TargetRecord> {

  /** Creates a converter. */
  public TargetMessages() {}

  @Override
  public void write(TargetRecord target, FeedObject.Builder builder) {
    builder.setTarget(
        FeedTarget.newBuilder()
            .setService(target.service())
            .setAddress(target.address())
            .setPort(target.port())
            .setZone(target.zone())
            .setVersion(target.version())
            .setSlots(target.slots())
            .setDraining(target.draining())
            .setColdMillis(target.coldMillis())
            .setStartedWallMillis(target.startedWallMillis()));
  }

  @Override
  public TargetRecord read(FeedObject message) {
    if (!message.hasTarget()) {
      throw new IllegalArgumentException(message.getName() + " holds no target");
    }
    FeedTarget target = message.getTarget();
    return new TargetRecord(
        message.getName(),
        target.getService(),
        target.getAddress(),
        target.getPort(),
        target.getZone(),
        target.getVersion(),
        target.getSlots(),
        target.getDraining(),
        target.getColdMillis(),
        target.getStartedWallMillis());
  }
}
