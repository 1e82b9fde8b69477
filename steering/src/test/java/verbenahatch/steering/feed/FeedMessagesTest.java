package verbenahatch.steering.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import verbenahatch.peer.generated.FeedObject;
import verbenahatch.steering.model.HostRecord;
import verbenahatch.steering.model.ReleaseOrder;
import verbenahatch.steering.model.SteeringDocument;
import verbenahatch.steering.model.SteeringDocument.CallerLimits;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringService;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.StoreRevision;
import verbenahatch.steering.model.TargetRecord;

/** Guards against fields that are lost between two hosts. */
class FeedMessagesTest {

  private static SteeringDocument document() {
    SteeringRoute route =
        new SteeringRoute(
            "r",
            "h.example",
            "/p/",
            List.of(new RoutePart("s", 0.9), new RoutePart("t", 0.1)),
            true,
            2_000,
            600,
            2,
            3,
            true,
            Set.of("north"));
    return new SteeringDocument(
        0x1234567890L,
        List.of(route),
        Map.of("s", new SteeringService("s", 330, 3_000, 2.5)),
        List.of(new SteeringWorkspace("w", Set.of("hash"), -1, 12.5, 20, Set.of("north", "south"))),
        new CallerLimits(16_384, 64L << 20, 3_000, 15_000));
  }

  static Stream<Arguments> objects() {
    return Stream.of(
        Arguments.of(new DocumentMessages(), document()),
        Arguments.of(
            new TargetMessages(),
            new TargetRecord(
                "x", "s", "10.0.0.1", 80, "z", "v2", 3, true, 250, 1_700_000_000_000L)),
        Arguments.of(
            new ReleaseMessages(),
            new ReleaseOrder(
                "x", "v2", 14_000, ReleaseOrder.State.ROLLED_BACK, new StoreRevision(2, 9), 4)),
        Arguments.of(new ZoneMessages(), "x"),
        Arguments.of(
            new HostMessages(), new HostRecord("x", "i", "z", "r", "10.0.0.1:80", "10.0.0.1:81")));
  }

  @ParameterizedTest
  @MethodSource("objects")
  <T> void readsObjectThatItWrote(FeedMessages<T> messages, T object)
      throws InvalidProtocolBufferException {
    FeedObject.Builder message = FeedObject.newBuilder().setName("x");
    messages.write(object, message);
    assertEquals(object, messages.read(FeedObject.parseFrom(message.build().toByteArray())));
  }

  @ParameterizedTest
  @MethodSource("objects")
  <T> void refusesMessageWithoutObject(FeedMessages<T> messages, T object) {
    FeedObject empty = FeedObject.newBuilder().setName("x").build();
    assertThrows(IllegalArgumentException.class, () -> messages.read(empty));
  }
}
