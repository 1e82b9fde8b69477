package verbenahatch.admin;

import java.util.List;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Fleet;
import verbenahatch.kernel.Readiness;
import verbenahatch.kernel.Result;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.Settings;

/** Handles requests for the state of this host and its view of the fleet. */
final class StatusHandlers {

  private final Settings settings;
  private final Fleet fleet;
  private final ConfigView config;
  private final Readiness readiness;

  StatusHandlers(Settings settings, Fleet fleet, ConfigView config, Readiness readiness) {
    this.settings = settings;
    this.fleet = fleet;
    this.config = config;
    this.readiness = readiness;
  }

  Result<Object, AdminError> status(AdminRequest request) {
    return Result.ok(
        new ResponseBodies.Status(
            settings.host(),
            fleet.self().incarnation(),
            settings.environment(),
            readiness.isReady(),
            readiness.unmet(),
            fleet.isFresh(),
            fleet.membersEpoch(),
            members(),
            config.document().map(EnvironmentDocument::generation).orElse(0L),
            config.drains().generation()));
  }

  private List<ResponseBodies.MemberStatus> members() {
    return fleet.members().stream()
        .map(
            member ->
                new ResponseBodies.MemberStatus(
                    member.host(),
                    member.incarnation(),
                    member.region(),
                    member.zone(),
                    member.incarnation().equals(fleet.self().incarnation())
                        || fleet.isInContact(member.incarnation()),
                    member.leaving()))
        .toList();
  }
}
