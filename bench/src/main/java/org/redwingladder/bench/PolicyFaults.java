package org.redwingladder.bench;

import java.util.List;
import org.redwingladder.routing.LoadReport;

/** Plans what happens to the backend servers and sites of a run. */
final class PolicyFaults {
    /** How many backend servers are new when traffic moves to cold ones: one in each zone. */
    static final int COLD_SERVERS = 6;

    private static final long REPORT_NANOS = 500_000_000L;

    private PolicyFaults() {}

    /** Takes the first region away; its clients turn to entry hosts of other regions. */
    static void loseRegion(PolicyWorld world, double atSeconds, PolicyRouter router) {
        world.mEvents.at(
                (long) (atSeconds * PolicyWorld.SECOND),
                () -> {
                    world.mLostRegion = 0;
                    world.near(0).forEach(server -> server.mPresent = false);
                    if (router instanceof PolicyOurs ours) {
                        ours.site(0).mLost = true;
                        ours.site(1).mLost = true;
                    }
                });
    }

    /** Holds the last backend servers back and adds them, cold, at the time of a move. */
    static void addCold(
            PolicyWorld world,
            double atSeconds,
            double factor,
            double warmAfter,
            PolicyRouter router) {
        int all = world.mServers.size();
        List<PolicyServer> cold = world.mServers.subList(all - COLD_SERVERS, all);
        cold.forEach(server -> server.mPresent = false);
        cold.forEach(server -> server.cool(factor, warmAfter));
        if (router instanceof PolicyOurs ours) {
            ours.startWithout(cold);
        }
        world.mEvents.at(
                (long) (atSeconds * PolicyWorld.SECOND),
                () -> {
                    cold.forEach(server -> server.mPresent = true);
                    if (router instanceof PolicyOurs ours) {
                        ours.configureAll();
                    }
                });
    }

    /** Lets all backend servers report their load twice a second. */
    static void report(
            PolicyWorld world,
            double lagSeconds,
            PolicyReports.Fault fault,
            double seconds,
            PolicyRouter router) {
        if (fault == PolicyReports.Fault.MISSING) {
            return;
        }
        for (long at = 0; at < seconds * PolicyWorld.SECOND; at += REPORT_NANOS) {
            world.mEvents.at(at, () -> reportOnce(world, lagSeconds, fault, router));
        }
    }

    private static void reportOnce(
            PolicyWorld world, double lagSeconds, PolicyReports.Fault fault, PolicyRouter router) {
        for (int i = 0; i < world.mServers.size(); i++) {
            PolicyServer server = world.mServers.get(i);
            int inFlight = server.inFlight();
            int slots = server.mSlots;
            if (fault == PolicyReports.Fault.LYING && i % 5 == 0) {
                inFlight = 0;
                slots *= 4;
            } else if (fault == PolicyReports.Fault.LYING && i % 5 == 1) {
                inFlight = slots;
                slots = 1;
            }
            LoadReport report = new LoadReport(inFlight, slots, LoadReport.State.SERVING);
            world.mEvents.after(
                    (long) (lagSeconds * PolicyWorld.SECOND),
                    () -> {
                        server.mReportedInFlight = report.inFlight();
                        if (router instanceof PolicyOurs ours) {
                            ours.site(server.mZone).reported(server, report);
                        }
                    });
        }
    }
}
