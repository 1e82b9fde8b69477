package verbenahatch.peer;

/**
 * Address of the peer port of a host.
 *
 * @param address the IP address
 * @param port the TCP port; 0 only to listen on any free port
 */
public record PeerAddress(String address, int port) {}
