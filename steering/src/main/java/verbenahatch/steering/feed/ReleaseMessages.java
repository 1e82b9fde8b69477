package verbenahatch.steering.feed;

import verbenahatch.peer.generated.FeedObject;
import verbenahatch.peer.generated.FeedRelease;
import verbenahatch.steering.model.ReleaseOrder;
import verbenahatch.steering.model.StoreRevision;

/** Converts release orders to messages and back. Stateless. */
public final class ReleaseMessages implements FeedMessages<ReleaseOrder> {

  /** Creates a converter. */
  public ReleaseMessages() {}

  @Override
  public void write(ReleaseOrder order, FeedObject.Builder builder) {
    builder.setRelease(
        FeedRelease.newBuilder()
            .setVersion(order.version())
            .setDurationMillis(order.durationMillis())
            .setState(order.state().name())
            .setRevision(order.revision().number())
            .setEra(order.revision().era())
            .setCreated(order.created()));
  }

  @Override
  public ReleaseOrder read(FeedObject message) {
    if (!message.hasRelease()) {
      throw new IllegalArgumentException(message.getName() + " holds no release");
    }
    FeedRelease order = message.getRelease();
    return new ReleaseOrder(
        message.getName(),
        order.getVersion(),
        order.getDurationMillis(),
        ReleaseOrder.State.valueOf(order.getState()),
        new StoreRevision(order.getEra(), order.getRevision()),
        order.getCreated());
  }
}
