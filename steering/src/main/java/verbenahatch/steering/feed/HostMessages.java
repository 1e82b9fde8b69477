package verbenahatch.steering.feed;

import verbenahatch.peer.generated.FeedHost;
import verbenahatch.peer.generated.FeedObject;
import verbenahatch.steering.model.HostRecord;

/** Converts records of hosts to messages and back. Stateless. */
public final class HostMessages implements FeedMessages<HostRecord> {

  /** Creates a converter. */
  public HostMessages() {}

  @Override
  public void write(HostRecord host, FeedObject.Builder builder) {
    builder.setHost(
        FeedHost.newBuilder()
            .setIncarnation(host.incarnation())
            .setZone(host.zone())
            .setRegion(host.region())
            .setCallersAddress(host.callersAddress())
            .setPeerAddress(host.peerAddress()));
  }

  @Override
  public HostRecord read(FeedObject message) {
    if (!message.hasHost()) {
      throw new IllegalArgumentException(message.getName() + " holds no host");
    }
    FeedHost host = message.getHost();
    return new HostRecord(
        message.getName(),
        host.getIncarnation(),
        host.getZone(),
        host.getRegion(),
        host.getCallersAddress(),
        host.getPeerAddress());
  }
}
