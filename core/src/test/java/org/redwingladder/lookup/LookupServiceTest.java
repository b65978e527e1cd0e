package org.redwingladder.lookup;

import static org.assertj.core.api.Assertions.assertThat;
import static org.redwingladder.lookup.Deployments.SERVICE;
import static org.redwingladder.lookup.Deployments.ZONES;
import static org.redwingladder.lookup.Deployments.hosts;
import static org.redwingladder.lookup.Deployments.settings;
import static org.redwingladder.lookup.Deployments.weights;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.api.EntryHost;
import org.redwingladder.api.LookupResponse;
import org.redwingladder.settings.Settings;
import org.redwingladder.settings.Site;

class LookupServiceTest {
    private final LookupService mService = LookupService.create();
    private final Settings mUniform = settings(3000, weights(1, 1, 1, 1, 1, 1));

    private static Set<String> zones(LookupResponse response) {
        Set<String> zones = new HashSet<>();
        response.entryHosts().forEach(h -> zones.add(h.zone()));
        return zones;
    }

    @Nested
    class Lookup {
        /** Guards against responses with a single zone, or with a wrong expiry. */
        @Test
        void containsTwoZonesAndAnAbsoluteExpiry() {
            mService.update(mUniform, 3);
            mService.updateHosts(hosts(4, ZONES));

            for (int block = 0; block < 3000; block++) {
                LookupResponse response = mService.lookup(SERVICE, block, 1000);
                assertThat(zones(response)).hasSize(2);
                assertThat(new HashSet<>(response.entryHosts())).hasSize(3);
                assertThat(response.expiresAt()).isEqualTo(6000);
                assertThat(response.settingsVersion()).isEqualTo(3);
                assertThat(response.entryHosts().getFirst().zone())
                        .isEqualTo(mService.siteOrder(SERVICE, block).getFirst().zone());
            }
        }

        /** Guards against a response without a second zone when a site's zone has no hosts. */
        @Test
        void fallsBackToHostsOfTheNearestZones() {
            mService.update(mUniform, 1);
            mService.updateHosts(hosts(1, List.of("a1", "b1", "c1")));
            for (int block = 0; block < 3000; block++) {
                assertThat(zones(mService.lookup(SERVICE, block, 0))).hasSize(2);
            }
            mService.updateHosts(hosts(2, List.of("b1")));
            assertThat(mService.lookup(SERVICE, 0, 0).entryHosts()).hasSize(2);
            mService.updateHosts(hosts(0, ZONES));
            assertThat(mService.lookup(SERVICE, 0, 0).entryHosts()).isEmpty();
        }

        /** Guards against a response for an unknown service or block. */
        @Test
        void isNullForUnknownServiceOrBlock() {
            assertThat(mService.lookup(SERVICE, 0, 0)).isNull();
            mService.update(mUniform, 1);
            assertThat(mService.lookup("other", 0, 0)).isNull();
            assertThat(mService.lookup(SERVICE, -1, 0)).isNull();
            assertThat(mService.lookup(SERVICE, 3000, 0)).isNull();
            assertThat(mService.siteOrder("other", 0)).isEmpty();
        }

        /** Guards against an older settings version that replaces a newer one. */
        @Test
        void ignoresAnOlderSettingsVersion() {
            mService.update(mUniform, 5);
            mService.update(settings(10, weights(1)), 4);

            assertThat(mService.lookup(SERVICE, 2999, 0)).isNotNull();
        }
    }

    @Nested
    class SiteOrder {
        /** Guards against an order that omits a site, or has a far region before a near one. */
        @Test
        void containsEverySiteOnceNearerRegionsFirst() {
            mService.update(settings(3000, weights(1, 0, 1, 1, 1, 1)), 1);
            for (int block = 0; block < 900; block++) {
                List<Site> order = mService.siteOrder(SERVICE, block);
                assertThat(order).hasSize(6).doesNotHaveDuplicates();
                List<String> others =
                        order.subList(2, 6).stream().map(s -> s.zone().substring(0, 1)).toList();
                assertThat(others).isSorted();
                assertThat(order.subList(0, 2)).doesNotContain(new Site(SERVICE, "a2"));
            }
        }
    }

    @Nested
    class Hosts {
        /** Guards against a removed host that also moves the clients of other hosts. */
        @Test
        void removedHostMovesOnlyItsOwnBlocks() {
            mService.update(mUniform, 1);
            mService.updateHosts(hosts(5, ZONES));
            List<EntryHost> before = firstHosts();
            mService.updateHosts(hosts(4, ZONES));
            List<EntryHost> after = firstHosts();

            for (int block = 0; block < 3000; block++) {
                if (!before.get(block).host().endsWith("-h4")) {
                    assertThat(after.get(block)).isEqualTo(before.get(block));
                }
            }
        }

        private List<EntryHost> firstHosts() {
            List<EntryHost> firstHosts = new java.util.ArrayList<>();
            for (int block = 0; block < 3000; block++) {
                firstHosts.add(mService.lookup(SERVICE, block, 0).entryHosts().getFirst());
            }
            return firstHosts;
        }
    }

    @Nested
    class ConcurrentReads {
        /** Guards against torn reads: a response with data of two settings versions. */
        @Test
        void seeOneConsistentVersion() throws Exception {
            Settings without = settings(3000, weights(-1, 1, 1, 1, 1, 1));
            mService.update(mUniform, 1);
            mService.updateHosts(hosts(2, ZONES));
            AtomicBoolean stop = new AtomicBoolean();
            AtomicReference<String> fault = new AtomicReference<>();
            Thread reader =
                    new Thread(
                            () -> {
                                for (int i = 0; !stop.get(); i++) {
                                    LookupResponse response = mService.lookup(SERVICE, i % 1000, 0);
                                    boolean even = response.settingsVersion() % 2 == 0;
                                    if (even && zones(response).contains("a1")) {
                                        fault.set("version " + response.settingsVersion());
                                    }
                                }
                            });
            reader.start();
            for (int version = 2; version < 200; version++) {
                mService.update(version % 2 == 0 ? without : mUniform, version);
            }
            stop.set(true);
            reader.join();

            assertThat(fault.get()).isNull();
        }
    }
}
