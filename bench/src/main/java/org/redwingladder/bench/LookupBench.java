package org.redwingladder.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.LongNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.lookup.LookupService;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.SettingsChange;
import org.redwingladder.settings.SettingsException;
import org.redwingladder.settings.SettingsReplica;
import org.redwingladder.settings.SettingsTree;
import org.redwingladder.settings.Site;

/**
 * Measures look-up decisions, table sizes and updates against a naive scan, and the slopes of
 * tables and settings for the capacity page.
 */
public final class LookupBench {
    private static final int BLOCKS = 2_200_000;
    private static final int SITES = 1_100;
    private static final int[] SIZES = {138, 275, 550, 1_100, 2_200};
    private static final int HOSTS_IN_ZONE = 96;
    private static final long MEASURE_NANOS = 2_000_000_000L;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PrintStream mOut;

    private LookupBench(PrintStream out) {
        mOut = out;
    }

    /**
     * Runs all measurements and prints one line for each.
     *
     * @throws Exception if a generated document is refused
     */
    public static void main(String[] args) throws Exception {
        LookupBench bench = new LookupBench(System.out);
        // Before anything else, because what later steps keep for a while would count too.
        bench.heapSlope();
        bench.decisions();
        bench.tableSlopes();
        bench.settingsSlopes();
    }

    private void line(String name, double baseline, double ours, double ratio) {
        mOut.printf(Locale.ROOT, "%s | %,.0f | %,.0f | %.2f%n", name, baseline, ours, ratio);
    }

    /** Gives one answer. */
    private interface Decision {
        LookupResponse decide(int service, int block);
    }

    private void decisions() throws SettingsException {
        TargetDeployment target = new TargetDeployment(BLOCKS, SITES);
        Settings settings = target.tree().settings();
        LookupService lookup = LookupService.create();
        lookup.update(settings, 1);
        lookup.updateHosts(target.hosts(HOSTS_IN_ZONE));
        String[] names = new String[target.services()];
        Arrays.setAll(names, TargetDeployment::service);
        Decision ours = (service, block) -> lookup.lookup(names[service], block, 1_000_000);
        NaiveScan scan = new NaiveScan(settings, target.hosts(HOSTS_IN_ZONE));
        Decision naive = (service, block) -> scan.lookup(names[service], block, 1_000_000);
        run(ours, names.length, MEASURE_NANOS);
        run(naive, names.length, MEASURE_NANOS);
        double baseline = run(naive, names.length, MEASURE_NANOS);
        double quiet = run(ours, names.length, MEASURE_NANOS);
        line("look-up decisions a second on one core", baseline, quiet, quiet / baseline);
        double perBlock = 4.0 * BLOCKS * names.length;
        line(
                "look-up table bytes (baseline: an entry for each block and service)",
                perBlock,
                lookup.tableBytes(),
                lookup.tableBytes() / perBlock);
        updates(target, lookup, ours, names.length, quiet);
    }

    /** Measures one reader while another thread replaces the tables again and again. */
    private void updates(
            TargetDeployment target,
            LookupService lookup,
            Decision ours,
            int services,
            double quiet)
            throws SettingsException {
        SettingsTree tree = target.tree();
        Settings one = tree.settings();
        Settings other = tree.apply(weight(2, "service-0", "zone-5", 0)).settings();
        AtomicBoolean stop = new AtomicBoolean();
        AtomicLong updates = new AtomicLong();
        Thread updater =
                new Thread(
                        () -> {
                            for (long version = 2; !stop.get(); version++) {
                                lookup.update(version % 2 == 0 ? other : one, version);
                                updates.incrementAndGet();
                            }
                        });
        updater.start();
        long started = System.nanoTime();
        double busy = run(ours, services, 2 * MEASURE_NANOS);
        double seconds = (System.nanoTime() - started) / 1e9;
        stop.set(true);
        join(updater);
        line("look-up decisions a second while tables are replaced", quiet, busy, busy / quiet);
        mOut.printf(
                Locale.ROOT,
                "table replacements a second meanwhile: %.1f (one site leaves or returns)%n",
                updates.get() / seconds);
    }

    private static SettingsChange weight(long version, String service, String zone, int weight) {
        return new SettingsChange(
                version,
                "c" + version,
                "team-0",
                "/teams/team-0/services/" + service + "/zones/" + zone + "/weight",
                IntNode.valueOf(weight),
                "bench",
                0);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns decisions a second over blocks and services drawn from a fixed seed. */
    private static double run(Decision decision, int services, long nanos) {
        int[] blocks = new SplittableRandom(7).ints(1 << 16, 0, BLOCKS).toArray();
        long count = 0;
        long hosts = 0;
        long started = System.nanoTime();
        long end = started + nanos;
        while (System.nanoTime() - end < 0) {
            for (int i = 0; i < 256; i++) {
                int index = (int) (count++ & 0xffff);
                LookupResponse answer = decision.decide(index % services, blocks[index]);
                hosts += answer.entryHosts().size();
            }
        }
        double seconds = (System.nanoTime() - started) / 1e9;
        if (hosts < 2 * count) {
            throw new IllegalStateException("an answer names fewer than two entry hosts");
        }
        return count / seconds;
    }

    /** Scans all sites for each look-up and takes the two that the block prefers. */
    private static final class NaiveScan {
        private final Settings mSettings;
        private final Map<String, List<EntryHost>> mHosts;
        private final List<Site> mSites;
        private final int mBlocksInRegion = BLOCKS / TargetDeployment.REGIONS;

        NaiveScan(Settings settings, Map<String, List<EntryHost>> hosts) {
            mSettings = settings;
            mHosts = hosts;
            mSites = settings.sites();
        }

        LookupResponse lookup(String service, int block, long now) {
            String home =
                    "region-" + Math.min(block / mBlocksInRegion, TargetDeployment.REGIONS - 1);
            Site best = null;
            Site second = null;
            Comparator<Site> order =
                    Comparator.comparingDouble(
                                    (Site s) ->
                                            mSettings.oneWayMillis(
                                                    home,
                                                    String.valueOf(mSettings.regionOf(s.zone()))))
                            .thenComparing(s -> (s.hashCode() * 31 + block) * 0x9e3779b9);
            for (Site site : mSites) {
                if (!site.service().equals(service)) {
                    continue;
                }
                if (best == null || order.compare(site, best) < 0) {
                    second = best;
                    best = site;
                } else if (second == null || order.compare(site, second) < 0) {
                    second = site;
                }
            }
            List<EntryHost> answer = new ArrayList<>();
            for (Site site : new Site[] {best, second}) {
                if (site != null) {
                    List<EntryHost> hosts = mHosts.get(site.zone());
                    answer.add(hosts.get(block % hosts.size()));
                }
            }
            return new LookupResponse(service, block, answer, now + 5000, 1, null);
        }
    }

    private void tableSlopes() throws SettingsException {
        mOut.println("blocks | sites | table bytes | build ms | update ms (one site leaves)");
        for (int blocks : new int[] {68_750, 137_500, 275_000, 524_288, BLOCKS, 2 * BLOCKS}) {
            tableSlope(blocks, SITES);
        }
        for (int sites : new int[] {275, 550}) {
            tableSlope(BLOCKS, sites);
        }
    }

    private void tableSlope(int blocks, int sites) throws SettingsException {
        SettingsTree tree = new TargetDeployment(blocks, sites).tree();
        Settings settings = tree.settings();
        Settings leaving = tree.apply(weight(2, "service-0", "zone-5", 0)).settings();
        double build = Double.MAX_VALUE;
        double update = Double.MAX_VALUE;
        long bytes = 0;
        for (int round = 0; round < 3; round++) {
            LookupService lookup = LookupService.create();
            long started = System.nanoTime();
            lookup.update(settings, 1);
            long built = System.nanoTime();
            lookup.update(leaving, 2);
            build = Math.min(build, (built - started) / 1e6);
            update = Math.min(update, (System.nanoTime() - built) / 1e6);
            bytes = lookup.tableBytes();
        }
        mOut.printf(
                Locale.ROOT,
                "%,d | %,d | %,d | %.1f | %.1f%n",
                blocks,
                sites,
                bytes,
                build,
                update);
    }

    private void settingsSlopes() throws SettingsException, IOException {
        mOut.println(
                "sites | document bytes | change record bytes | apply ms | read and validate ms");
        for (int sites : SIZES) {
            SettingsTree tree = new TargetDeployment(BLOCKS, sites).tree();
            int document = MAPPER.writeValueAsBytes(tree.document()).length;
            int record = MAPPER.writeValueAsBytes(cap(2)).length;
            double read = Double.MAX_VALUE;
            for (int round = 0; round < 5; round++) {
                SettingsReplica order = SettingsReplica.create(8);
                SettingsTree copy = new TargetDeployment(BLOCKS, sites).tree();
                long started = System.nanoTime();
                order.accept(copy);
                read = Math.min(read, (System.nanoTime() - started) / 1e6);
            }
            mOut.printf(
                    Locale.ROOT,
                    "%,d | %,d | %,d | %.2f | %.2f%n",
                    sites,
                    document,
                    record,
                    apply(tree),
                    read);
        }
    }

    private void heapSlope() {
        mOut.println("sites | heap bytes of the document and its settings");
        for (int sites : SIZES) {
            mOut.printf(Locale.ROOT, "%,d | %,d%n", sites, heap(sites));
        }
    }

    /** Returns what the document and its settings take in memory, as the collector sees it. */
    private static long heap(int sites) {
        SettingsReplica[] copies = new SettingsReplica[9];
        long before = 0;
        for (int i = 0; i < copies.length; i++) {
            copies[i] = SettingsReplica.create(8);
            copies[i].accept(new TargetDeployment(BLOCKS, sites).tree());
            if (i == 0) {
                before = used();
            }
        }
        long after = used();
        if (Arrays.stream(copies).anyMatch(order -> order.version() == 0)) {
            throw new IllegalStateException("the document was refused");
        }
        return (after - before) / (copies.length - 1);
    }

    private static long used() {
        // Only every fourth full collection of the serial collector leaves no dead objects behind.
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static double apply(SettingsTree tree) {
        SettingsReplica order = SettingsReplica.create(8);
        order.accept(tree);
        double[] millis = new double[40];
        for (int i = 0; i < millis.length; i++) {
            long started = System.nanoTime();
            if (!(order.accept(cap(2 + i)) instanceof SettingsReplica.Result.Applied)) {
                throw new IllegalStateException("a change was not applied");
            }
            millis[i] = (System.nanoTime() - started) / 1e6;
        }
        Arrays.sort(millis);
        return millis[millis.length / 2];
    }

    private static SettingsChange cap(long version) {
        return new SettingsChange(
                version,
                "change-" + version,
                "team-0",
                "/teams/team-0/caps/cap-3/requestsPerSecond",
                LongNode.valueOf(400 + version),
                "operator",
                1_700_000_000_000L);
    }
}
