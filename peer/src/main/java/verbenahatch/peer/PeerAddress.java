package verbenahatch.peer;

/**
 * Names the peer port of a host.
 *
 * @param address the IP number
 * @param port the TCP port
 */
public record PeerAddress(String address, int port) {}
