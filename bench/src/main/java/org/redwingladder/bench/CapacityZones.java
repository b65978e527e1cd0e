package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import org.redwingladder.http.Json;
import org.redwingladder.membership.ZoneDirectory;
import org.redwingladder.membership.ZoneSummary;

/** Measures the directory of zones and the digests that stewards exchange. */
final class CapacityZones {
    private static final int MEMBERS = 96;

    private CapacityZones() {}

    /** Returns the cost of one exchange of digests in which one zone has changed. */
    static CapacityLine exchange(int zones, CapacityHttp.Heads heads) {
        ZoneDirectory directory = directory(zones, 0);
        ZoneDirectory other = directory(zones, 1);
        byte[] digests = Json.write(directory.digests());
        byte[] summaries = Json.write(other.summariesNewerThan(directory.digests()));
        double micros =
                CapacityMeter.cpuMicros(
                        () -> {
                            Json.write(directory.digests());
                            other.summariesNewerThan(directory.digests());
                        });
        return new CapacityLine(
                "zones: one exchange of digests (a changed zone adds " + summaries.length + " B)",
                zones + " zones of " + MEMBERS,
                2L * digests.length + heads.requestBytes() + heads.answerBytes(),
                micros,
                CapacityMeter.retainedBytes(() -> directory(zones, 0)));
    }

    private static ZoneDirectory directory(int zones, int changed) {
        ZoneDirectory directory = ZoneDirectory.create();
        List<ZoneSummary> summaries = new ArrayList<>();
        for (int i = 0; i < zones; i++) {
            long epoch = i < changed ? 2 : 1;
            summaries.add(
                    new ZoneSummary("zone-" + i, epoch, 1, CapacityMembership.members(MEMBERS)));
        }
        directory.merge(summaries);
        return directory;
    }
}
