package verbenahatch.steering.quota;

import java.util.List;
import java.util.Map;
import java.util.Set;
import verbenahatch.peer.generated.HostBeat;

/**
 * Tells what the division of quotas needs to know of the fleet. Implementations are thread-safe.
 */
public interface QuotaFleet {

  /**
   * Describes a host that may admit for others.
   *
   * @param host the name of the host
   * @param incarnation the process
   * @param address its address for peers, IP number and port
   * @param settled whether it runs for longer than the window of quotas
   */
  record Member(String host, String incarnation, String address, boolean settled) {}

  /**
   * Tells whether each host admits for itself.
   *
   * @return true in a small fleet
   */
  boolean isSmallFleet();

  /**
   * Returns the process of this host.
   *
   * @return an incarnation
   */
  String incarnation();

  /**
   * Returns the region of this host.
   *
   * @return a name
   */
  String region();

  /**
   * Returns the beats of the hosts that live.
   *
   * @return beats without those of this host
   */
  List<HostBeat> live();

  /**
   * Counts the known hosts, this one included.
   *
   * @return at least 1
   */
  int count();

  /**
   * Returns the time after which every host of a small fleet has heard of a change at this one.
   *
   * @return milliseconds
   */
  long propagationMillis();

  /**
   * Returns the hosts of this region that are heard and do not leave, this one included.
   *
   * @return at least one member unless this host leaves and hears no other
   */
  List<Member> regionMembers();

  /**
   * Returns the part of the known hosts of this region that are heard, this one included.
   *
   * @return more than 0, at most 1
   */
  double aliveFractionOfRegion();

  /**
   * Returns the part of the window of quotas that the heard hosts of this region remember.
   *
   * @return a mean over the known hosts, from 0 to 1
   */
  double windowCoverageOfRegion();

  /**
   * Returns the regions of all known hosts.
   *
   * @return at least the region of this host
   */
  Set<String> regions();

  /**
   * Returns the hosts of another region that are not known to be silent.
   *
   * @param region the other region
   * @return addresses for peers by the names of hosts, possibly none
   */
  Map<String, String> hostsIn(String region);
}
