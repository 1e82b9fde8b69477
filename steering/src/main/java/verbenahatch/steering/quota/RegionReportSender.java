package verbenahatch.steering.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import verbenahatch.peer.generated.PeerDatagram;
import verbenahatch.peer.generated.RegionUse;
import verbenahatch.peer.generated.WorkspaceDemand;
import verbenahatch.steering.quota.Admission.Transport;

/**
 * Reports to the coordinators of other regions what this host admits as a coordinator.
 *
 * <p>Thread-safe.
 */
final class RegionReportSender {

  /**
   * Hosts of another region that reports are sent to in turn. One that restarts or is cut off loses
   * every third report, fewer than let a region time out; each keeps what it forwards, in case it
   * becomes the coordinator.
   */
  private static final int REPORT_RECEIVERS = 3;

  private final QuotaFleet fleet;
  private final QuotaTable table;
  private final AtomicInteger reportsSent = new AtomicInteger();

  /**
   * Creates a sender.
   *
   * @param fleet this host's view of the fleet
   * @param table what this host admits as a coordinator
   */
  RegionReportSender(QuotaFleet fleet, QuotaTable table) {
    this.fleet = fleet;
    this.table = table;
  }

  /**
   * Sends one report to each other region.
   *
   * @param workspaces the workspaces that this host coordinates
   * @param transport the transport to other hosts
   */
  void send(Set<String> workspaces, Transport transport) {
    Map<Integer, RegionUse.Builder> byGroup = new HashMap<>();
    Set<String> idle = new HashSet<>(workspaces);
    table.forEachUsage(
        (name, perSecond, admitted, charged) -> {
          if (idle.remove(name)) {
            groupReport(byGroup, name).addDemands(demand(name, perSecond, charged));
          }
        });
    // Workspaces without demand are reported too, because the coordinators of the other regions
    // would otherwise reserve an even share for this region.
    idle.forEach(
        name -> groupReport(byGroup, name).addDemands(demand(name, 0, table.reserved(name))));
    int place = Math.floorMod(reportsSent.getAndIncrement(), REPORT_RECEIVERS);
    for (String region : fleet.regions()) {
      if (!region.equals(fleet.region())) {
        sendGroupReports(transport, byGroup, place, fleet.hostsIn(region));
      }
    }
  }

  private RegionUse.Builder groupReport(Map<Integer, RegionUse.Builder> byGroup, String workspace) {
    return byGroup.computeIfAbsent(
        QuotaCoordinators.group(workspace),
        group -> RegionUse.newBuilder().setRegion(fleet.region()));
  }

  private static void sendGroupReports(
      Transport transport,
      Map<Integer, RegionUse.Builder> byGroup,
      int place,
      Map<String, String> addresses) {
    byGroup.forEach(
        (group, report) -> {
          String address = QuotaCoordinators.probableAddress(group, place, addresses);
          if (address != null) {
            transport.send(address, PeerDatagram.newBuilder().setRegionUse(report).build());
          }
        });
  }

  static WorkspaceDemand demand(String workspace, double perSecond, int admitted) {
    return WorkspaceDemand.newBuilder()
        .setWorkspace(workspace)
        .setPerSecond((float) perSecond)
        .setAdmitted(admitted)
        .build();
  }
}
