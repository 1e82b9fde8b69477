package verbenahatch.steering.quota;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import verbenahatch.peer.generated.HostBeat;

/**
 * Provides this host's view of the fleet for the allocation of quotas. Implementations are
 * thread-safe.
 */
public interface QuotaFleet {

  /**
   * Describes a host that may coordinate the quotas of workspaces.
   *
   * @param host the name of the host
   * @param incarnation the incarnation of its process
   * @param address its address for peers, IP address and port
   * @param settled whether its process has run for at least the quota window, or for about as long
   *     as any other of its region
   */
  record Member(String host, String incarnation, String address, boolean settled) {}

  /**
   * Returns whether each host admits requests by its own share, without a coordinator.
   *
   * @return true in a small fleet
   */
  boolean isSmallFleet();

  /**
   * Returns the incarnation of this host's process.
   *
   * @return the incarnation, which differs after each start
   */
  String incarnation();

  /**
   * Returns the region of this host.
   *
   * @return the name of the region
   */
  String region();

  /**
   * Returns the newest heartbeats of the hosts that are alive.
   *
   * @return heartbeats without those of this host
   */
  List<HostBeat> live();

  /**
   * Returns the incarnations of the processes that are alive.
   *
   * @return incarnations, that of this process included
   */
  default Set<String> liveIncarnations() {
    Set<String> incarnations = new HashSet<>();
    incarnations.add(incarnation());
    live().forEach(heartbeat -> incarnations.add(heartbeat.getIncarnation()));
    return incarnations;
  }

  /**
   * Counts the known hosts, this one included.
   *
   * @return at least 1
   */
  int count();

  /**
   * Returns the time after which every host of a small fleet knows of a change at this one.
   *
   * @return the time in milliseconds
   */
  long propagationMillis();

  /**
   * Returns the hosts of this region that are alive and not leaving, this one included.
   *
   * @return at least one member unless this host is leaving and no other is alive
   */
  List<Member> regionMembers();

  /**
   * Returns the time since the last heartbeat of a host.
   *
   * @param host the name of the host
   * @return the time in milliseconds, 0 for this host and one that was never heard from
   */
  long silentMillis(String host);

  /**
   * Returns the fraction of the known hosts of this region that are alive, this one included.
   *
   * @return more than 0, at most 1
   */
  double aliveFractionOfRegion();

  /**
   * Returns the fraction of all known hosts that are in this region.
   *
   * @return more than 0, at most 1
   */
  double fractionInRegion();

  /**
   * Returns the fraction of the quota window that the live hosts of this region have run for.
   *
   * @return a mean over the known hosts, from 0 to 1; a host that is not alive counts as 0
   */
  double windowCoverageOfRegion();

  /**
   * Returns the regions of all known hosts.
   *
   * @return at least the region of this host
   */
  Set<String> regions();

  /**
   * Returns the hosts of another region that are not known to have timed out.
   *
   * @param region the other region
   * @return addresses for peers by the names of hosts, possibly none
   */
  Map<String, String> hostsIn(String region);
}
