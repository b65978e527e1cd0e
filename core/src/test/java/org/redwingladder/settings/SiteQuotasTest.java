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

    private static long rate(SiteQuotas quotas) {
        return quotas.caps().isEmpty() ? 0 : quotas.caps().getFirst().requestsPerSecond();
    }

    private static Site site(String zone) {
        return new Site("checkout", zone);
    }

    @Nested
    class Division {
        /** Guards against quotas that do not add up to the cap. */
        @Test
        void addsUpWithRemaindersToFirstZones() {
            Settings settings = settings(List.of("suva", "nadi", "labasa"), 100, "any");

            assertThat(rate(SiteQuotas.of(settings, site("labasa")))).isEqualTo(34);
            assertThat(rate(SiteQuotas.of(settings, site("nadi")))).isEqualTo(33);
            assertThat(rate(SiteQuotas.of(settings, site("suva")))).isEqualTo(33);
        }

        /** Guards against a cap that limits zones outside its scope. */
        @Test
        void givesNoQuotaOutsideScope() {
            Settings settings = settings(List.of("suva", "nadi", "labasa"), 100, "viti");

            assertThat(rate(SiteQuotas.of(settings, site("nadi")))).isEqualTo(50);
            assertThat(SiteQuotas.of(settings, site("labasa")).caps()).isEmpty();
        }

        /** Guards against link quotas that add up to more than the bandwidth. */
        @Test
        void dividesLinksByZoneAndService() {
            Settings settings = settings(List.of("suva", "labasa"), 100, "any");

            assertThat(SiteQuotas.of(settings, site("suva")).links())
                    .containsExactly(
                            new SiteQuotas.LinkQuota("viti-vanua", "vanua", 2_000_000_000L));
            assertThat(SiteQuotas.of(settings, site("labasa")).links()).isEmpty();
        }
    }

    @Nested
    class VersionChange {
        private final Settings mOld = settings(List.of("suva"), 100, "viti");
        private final Settings mNew = settings(List.of("suva", "nadi"), 100, "viti");
        private final NavigableMap<Long, Settings> mVersions =
                new TreeMap<>(Map.of(1L, mOld, 2L, mNew));

        /** Guards against raising a quota before the zone that loses it has acknowledged. */
        @Test
        void raisesQuotaOnlyAfterAcknowledgement() {
            assertThat(
                            rate(
                                    SiteQuotas.of(
                                            mVersions,
                                            ZoneAcks.of(2, Map.of("suva", 1L)),
                                            site("nadi"))))
                    .isZero();
            assertThat(
                            rate(
                                    SiteQuotas.of(
                                            mVersions,
                                            ZoneAcks.of(2, Map.of("suva", 2L)),
                                            site("nadi"))))
                    .isEqualTo(50);
        }

        /** Guards against a lowered quota that waits for other zones. */
        @Test
        void lowersQuotaImmediately() {
            assertThat(
                            rate(
                                    SiteQuotas.of(
                                            mVersions,
                                            ZoneAcks.of(1, Map.of("nadi", 1L)),
                                            site("suva"))))
                    .isEqualTo(50);
        }

        /** Guards against acknowledgements read before this version, which miss a new zone. */
        @Test
        void requiresAcknowledgementsReadAtThisVersion() {
            assertThat(rate(SiteQuotas.of(mVersions, ZoneAcks.of(1, Map.of()), site("nadi"))))
                    .isZero();
        }

        /** Guards against raising a quota when a version in use is unknown. */
        @Test
        void countsUnknownVersionsAsZero() {
            NavigableMap<Long, Settings> onlyNew = new TreeMap<>(Map.of(2L, mNew));

            assertThat(
                            rate(
                                    SiteQuotas.of(
                                            onlyNew,
                                            ZoneAcks.of(2, Map.of("suva", 1L)),
                                            site("nadi"))))
                    .isZero();
        }

        /** Guards against a partitioned zone that delays changes of caps that it does not share. */
        @Test
        void ignoresZonesThatDoNotShareCap() {
            ZoneAcks acks = ZoneAcks.of(2, Map.of("suva", 2L, "labasa", 1L));

            assertThat(rate(SiteQuotas.of(mVersions, acks, site("nadi")))).isEqualTo(50);
        }
    }

    /** Computes the rate that a zone may use from its own knowledge. */
    private interface Mechanism {
        long rate(NavigableMap<Long, Settings> known, ZoneAcks acks, Site site);
    }

    /**
     * Guards against exceeding a cap during a version change: under any interleaving of adopting
     * versions, acknowledging them and reading acknowledgements, the zones' quotas add up to at
     * most the cap.
     */
    @Property(tries = 300, seed = "7")
    void sumOfQuotasNeverExceedsCap(@ForAll long seed) {
        assertThat(highestSum(seed, (k, a, s) -> rate(SiteQuotas.of(k, a, s))))
                .isLessThanOrEqualTo(100);
    }

    @Nested
    class UnsafeMechanism {
        /** Guards against a check that misses a mechanism that raises quotas immediately. */
        @Test
        void raisingImmediatelyExceedsCap() {
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

    /** Returns the highest sum of the serving zones' quotas during one random interleaving. */
    private static long highestSum(long seed, Mechanism mechanism) {
        Random random = new Random(seed);
        NavigableMap<Long, Settings> all = new TreeMap<>();
        Map<String, Long> adopted = new HashMap<>();
        Map<String, Long> acknowledged = new HashMap<>();
        Map<String, ZoneAcks> readAcks = new HashMap<>();
        // The last zone has never served; it starts later, at the newest version.
        List<String> serving = new ArrayList<>(ZONES.subList(0, 3));
        all.put(1L, randomSettings(random));
        for (String zone : serving) {
            adopted.put(zone, 1L);
            acknowledged.put(zone, 1L);
            readAcks.put(zone, ZoneAcks.of(1, Map.of()));
        }
        long worst = 0;
        for (int step = 0; step < 60; step++) {
            String zone = serving.get(random.nextInt(serving.size()));
            long version = adopted.get(zone);
            switch (random.nextInt(5)) {
                case 0 -> all.put(all.lastKey() + 1, randomSettings(random));
                case 1 -> adopted.put(zone, Math.min(all.lastKey(), version + 1));
                case 2 -> acknowledged.put(zone, version);
                case 3 -> readAcks.merge(zone, ZoneAcks.of(version, acknowledged), ZoneAcks::merge);
                default -> {
                    if (serving.size() < ZONES.size() && random.nextInt(4) == 0) {
                        String added = ZONES.get(serving.size());
                        serving.add(added);
                        adopted.put(added, all.lastKey());
                        acknowledged.put(added, all.lastKey());
                        readAcks.put(added, ZoneAcks.of(all.lastKey(), acknowledged));
                    }
                }
            }
            long sum = 0;
            for (String z : serving) {
                sum += mechanism.rate(all.headMap(adopted.get(z), true), readAcks.get(z), site(z));
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
