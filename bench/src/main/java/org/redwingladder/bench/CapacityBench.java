package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures what each role of an entry host costs at several sizes, for docs/CAPACITY.md.
 *
 * <p>Each line gives the size, the bytes of one message with its HTTP head where the role sends
 * any, the processor time of one event, and the memory that the state holds.
 */
public final class CapacityBench {
    private CapacityBench() {}

    /**
     * Prints one line a role and size, as {@code role | size | bytes | microseconds | bytes}, then
     * the figures of the look-up table and the settings document.
     */
    public static void main(String[] args) throws Exception {
        List<CapacityLine> lines = new ArrayList<>();
        CapacityHttp.Heads heads = CapacityHttp.measureHeads();
        lines.add(CapacityHttp.exchange(heads));
        for (int members : new int[] {4, 24, 48, 96}) {
            lines.add(CapacityMembership.heartbeat(members, heads));
        }
        for (int members : new int[] {4, 24, 48, 96}) {
            lines.add(CapacityMembership.rosterChange(members, heads));
        }
        for (int zones : new int[] {6, 24, 78}) {
            lines.add(CapacityZones.exchange(zones, heads));
        }
        for (int backends : new int[] {3, 10, 30}) {
            lines.add(CapacityDispatch.request(backends));
        }
        for (int sites : new int[] {3, 14, 56}) {
            lines.add(CapacityMetrics.scrape(sites));
        }
        System.out.println("role | size | message bytes | CPU us per event | state bytes");
        for (CapacityLine line : lines) {
            System.out.println(
                    String.format(
                            Locale.ROOT,
                            "%s | %s | %d | %.2f | %d",
                            line.role(),
                            line.size(),
                            line.messageBytes(),
                            line.cpuMicros(),
                            line.stateBytes()));
        }
        LookupBench.main(args);
    }
}
