package verbenahatch.peer;

import java.util.concurrent.CompletableFuture;

/** Handles requests of one kind from other hosts. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles one request; must not block.
   *
   * @param senderIncarnation the incarnation id of the sender, proven by the link
   * @param body the protobuf message of the kind
   * @return the body of the answer; a failed future refuses the request
   */
  CompletableFuture<byte[]> handle(String senderIncarnation, byte[] body);
}
