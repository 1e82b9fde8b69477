package verbenahatch.peer;

import java.util.concurrent.CompletableFuture;

/** Handles requests of one kind from other hosts. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles one request; must not block.
   *
   * @param senderIncarnation the incarnation id of the sender, authenticated by the link
   * @param body the protobuf message of the kind
   * @return completes with the body of the response, or exceptionally to refuse the request
   */
  CompletableFuture<byte[]> handle(String senderIncarnation, byte[] body);
}
