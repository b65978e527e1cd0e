package org.redwingladder.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SiteQuotasTest {
    private static final List<String> ZONES = List.of("labasa", "nadi", "savusavu", "suva");

    /** Returns settings in which the service has sites in {@code zones} and the cap is as given. */
    private static Settings settings(List<String> zones, long rate, String to) {
        ObjectNode document = TestSettings.document();
        ObjectNode store = (ObjectNode) document.at("/teams/store");
        store.remove("backendServers");
        ObjectNode sites = (ObjectNode) store.at("/services/checkout");
        sites.putObject("zones");
        zones.forEach(z -> sites.withObjectProperty("zones").putObject(z).put("weight", 1));
        ObjectNode cap = (ObjectNode) store.at("/caps/checkout-any");
        cap.put("requestsPerSecond", rate).put("inFlight", rate / 10).put("to", to);
        try {
            return SettingsCodec.read(document);
        } catch (SettingsException e) {
            throw new AssertionError(e);
        }
    }

    private static long rate(SiteQuotas parts) {
        return parts.caps().isEmpty() ? 0 : parts.caps().getFirst().requestsPerSecond();
    }

    private static Site site(String zone) {
        return new Site("checkout", zone);
    }

    @Nested
    class Split {
        /** Guards against parts that do not add up to the cap. */
        @Test
        void addsUpWithRemaindersFirst() {
            Settings settings = settings(List.of("suva", "nadi", "labasa"), 100, "any");

            assertThat(rate(SiteQuotas.of(settings, site("labasa")))).isEqualTo(34);
            assertThat(rate(SiteQuotas.of(settings, site("nadi")))).isEqualTo(33);
            assertThat(rate(SiteQuotas.of(settings, site("suva")))).isEqualTo(33);
        }

        /** Guards against a cap that restricts zones outside its scope. */
        @Test
        void leavesZonesOutsideTheScopeAlone() {
            Settings settings = settings(List.of("suva", "nadi", "labasa"), 100, "viti");

            assertThat(rate(SiteQuotas.of(settings, site("nadi")))).isEqualTo(50);
            assertThat(SiteQuotas.of(settings, site("labasa")).caps()).isEmpty();
        }

        /** Guards against a link whose zones and services together exceed its rate. */
        @Test
        void splitsLinksByZoneAndService() {
            Settings settings = settings(List.of("suva", "labasa"), 100, "any");

            assertThat(SiteQuotas.of(settings, site("suva")).links())
                    .containsExactly(new SiteQuotas.LinkQuota("viti-vanua", "vanua", 2_000_000_000L));
            assertThat(SiteQuotas.of(settings, site("labasa")).links()).isEmpty();
        }
    }

    @Nested
    class Shift {
        private final Settings mOld = settings(List.of("suva"), 100, "viti");
        private final Settings mNew = settings(List.of("suva", "nadi"), 100, "viti");
        private final NavigableMap<Long, Settings> mBoth =
                new TreeMap<>(Map.of(1L, mOld, 2L, mNew));

        /** Guards against a raise before the zone that gives way has acknowledged. */
        @Test
        void raisesOnlyAfterTheAcknowledgement() {
            assertThat(rate(SiteQuotas.of(mBoth, ZoneAcks.of(2, Map.of("suva", 1L)), site("nadi"))))
                    .isZero();
            assertThat(rate(SiteQuotas.of(mBoth, ZoneAcks.of(2, Map.of("suva", 2L)), site("nadi"))))
                    .isEqualTo(50);
        }

        /** Guards against a lowered part that waits for others. */
        @Test
        void lowersAtOnce() {
            assertThat(rate(SiteQuotas.of(mBoth, ZoneAcks.of(1, Map.of("nadi", 1L)), site("suva"))))
                    .isEqualTo(50);
        }

        /** Guards against acknowledgements read before the version, which miss a new zone. */
        @Test
        void needsAReadingOfThisVersion() {
            assertThat(rate(SiteQuotas.of(mBoth, ZoneAcks.of(1, Map.of()), site("nadi")))).isZero();
        }

        /** Guards against a raise when the versions in use are not known. */
        @Test
        void countsUnknownVersionsAsZero() {
            NavigableMap<Long, Settings> onlyNew = new TreeMap<>(Map.of(2L, mNew));

            assertThat(rate(SiteQuotas.of(onlyNew, ZoneAcks.of(2, Map.of("suva", 1L)), site("nadi"))))
                    .isZero();
        }

        /** Guards against a cut-off zone that delays caps it has no part in. */
        @Test
        void ignoresZonesThatDoNotShare() {
            ZoneAcks acks = ZoneAcks.of(2, Map.of("suva", 2L, "labasa", 1L));

            assertThat(rate(SiteQuotas.of(mBoth, acks, site("nadi")))).isEqualTo(50);
        }
    }

    /** Decides the rate that a zone may use by what it knows. */
    private interface Mechanism {
        long rate(NavigableMap<Long, Settings> known, ZoneAcks acks, Site site);
    }

    /**
     * Guards guarantee 1 on a version change: under any interleaving of learning, acknowledging and
     * reading acknowledgements, the zones' parts add up to at most the cap. A mechanism that raises
     * at once must be caught.
     */
    @Property(tries = 300, seed = "7")
    void sumNeverExceedsTheCap(@ForAll long seed) {
        assertThat(highestSum(seed, (k, a, s) -> rate(SiteQuotas.of(k, a, s))))
                .isLessThanOrEqualTo(100);
    }

    @Nested
    class Naive {
        /** Guards against a property that cannot fail. */
        @Test
        void raisingAtOnceIsCaught() {
            long worst = 0;
            for (long seed = 0; seed < 50; seed++) {
                worst =
                        Math.max(
                                worst,
                                highestSum(
                                        seed,
                                        (known, acks, site) ->
                                                rate(
                                                        SiteQuotas.of(
                                                                known.lastEntry().getValue(),
                                                                site))));
            }
            assertThat(worst).isGreaterThan(100);
        }
    }

    /** Runs one interleaving and returns the highest sum of parts over the zones that serve. */
    private static long highestSum(long seed, Mechanism mechanism) {
        Random random = new Random(seed);
        NavigableMap<Long, Settings> all = new TreeMap<>();
        Map<String, Long> learned = new HashMap<>();
        Map<String, Long> rows = new HashMap<>();
        Map<String, ZoneAcks> views = new HashMap<>();
        // The last zone has never served; it starts later, at the newest version.
        List<String> serving = new ArrayList<>(ZONES.subList(0, 3));
        all.put(1L, randomSettings(random));
        for (String zone : serving) {
            learned.put(zone, 1L);
            rows.put(zone, 1L);
            views.put(zone, ZoneAcks.of(1, Map.of()));
        }
        long worst = 0;
        for (int step = 0; step < 60; step++) {
            String zone = serving.get(random.nextInt(serving.size()));
            long version = learned.get(zone);
            switch (random.nextInt(5)) {
                case 0 -> all.put(all.lastKey() + 1, randomSettings(random));
                case 1 -> learned.put(zone, Math.min(all.lastKey(), version + 1));
                case 2 -> rows.put(zone, version);
                case 3 -> views.merge(zone, ZoneAcks.of(version, rows), ZoneAcks::merge);
                default -> {
                    if (serving.size() < ZONES.size() && random.nextInt(4) == 0) {
                        String added = ZONES.get(serving.size());
                        serving.add(added);
                        learned.put(added, all.lastKey());
                        rows.put(added, all.lastKey());
                        views.put(added, ZoneAcks.of(all.lastKey(), rows));
                    }
                }
            }
            long sum = 0;
            for (String z : serving) {
                sum += mechanism.rate(all.headMap(learned.get(z), true), views.get(z), site(z));
            }
            worst = Math.max(worst, sum);
        }
        return worst;
    }

    private static Settings randomSettings(Random random) {
        List<String> zones = new ArrayList<>(ZONES);
        Collections.shuffle(zones, random);
        return settings(zones.subList(0, 1 + random.nextInt(4)), 100, "any");
    }
}
