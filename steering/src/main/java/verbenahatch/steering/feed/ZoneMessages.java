package verbenahatch.steering.feed;

import verbenahatch.peer.generated.FeedObject;

/** Converts names of evacuated zones to messages and back. Stateless. */
public final class ZoneMessages implements FeedMessages<String> {

  /** Creates a converter. */
  public ZoneMessages() {}

  @Override
  public void write(String zone, FeedObject.Builder builder) {
    builder.setZone(zone);
  }

  @Override
  public String read(FeedObject message) {
    if (!message.hasZone()) {
      throw new IllegalArgumentException(message.getName() + " holds no zone");
    }
    return message.getZone();
  }
}
