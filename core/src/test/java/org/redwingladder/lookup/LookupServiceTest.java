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
    private final Settings mEven = settings(3000, weights(1, 1, 1, 1, 1, 1));

    private static Set<String> zones(LookupResponse answer) {
        Set<String> zones = new HashSet<>();
        answer.entryHosts().forEach(h -> zones.add(h.zone()));
        return zones;
    }

    @Nested
    class Answer {
        /** Guards against answers that name one zone only, or that outlive their lifetime. */
        @Test
        void namesTwoZonesAndAnAbsoluteExpiry() {
            mService.update(mEven, 3);
            mService.updateHosts(hosts(4, ZONES));

            for (int block = 0; block < 3000; block++) {
                LookupResponse answer = mService.lookup(SERVICE, block, 1000);
                assertThat(zones(answer)).hasSize(2);
                assertThat(new HashSet<>(answer.entryHosts())).hasSize(3);
                assertThat(answer.expiresAt()).isEqualTo(6000);
                assertThat(answer.settingsVersion()).isEqualTo(3);
                assertThat(answer.entryHosts().getFirst().zone())
                        .isEqualTo(mService.siteOrder(SERVICE, block).getFirst().zone());
            }
        }

        /** Guards against an answer without a second zone when a site's zone has no hosts. */
        @Test
        void fallsBackToTheNearestZones() {
            mService.update(mEven, 1);
            mService.updateHosts(hosts(1, List.of("a1", "b1", "c1")));
            for (int block = 0; block < 3000; block++) {
                assertThat(zones(mService.lookup(SERVICE, block, 0))).hasSize(2);
            }
            mService.updateHosts(hosts(2, List.of("b1")));
            assertThat(mService.lookup(SERVICE, 0, 0).entryHosts()).hasSize(2);
            mService.updateHosts(hosts(0, ZONES));
            assertThat(mService.lookup(SERVICE, 0, 0).entryHosts()).isEmpty();
        }

        /** Guards against an answer for what does not exist. */
        @Test
        void isNullForUnknownServiceOrBlock() {
            assertThat(mService.lookup(SERVICE, 0, 0)).isNull();
            mService.update(mEven, 1);
            assertThat(mService.lookup("other", 0, 0)).isNull();
            assertThat(mService.lookup(SERVICE, -1, 0)).isNull();
            assertThat(mService.lookup(SERVICE, 3000, 0)).isNull();
            assertThat(mService.siteOrder("other", 0)).isEmpty();
        }

        /** Guards against an older version that replaces a newer one. */
        @Test
        void neverGoesBack() {
            mService.update(mEven, 5);
            mService.update(settings(10, weights(1)), 4);

            assertThat(mService.lookup(SERVICE, 2999, 0)).isNotNull();
        }
    }

    @Nested
    class Order {
        /**
         * Guards against an ingress that misses a site, or tries a far region before a near one.
         */
        @Test
        void namesEverySiteOnceNearerRegionsFirst() {
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
        /** Guards against a leaving host that moves other hosts' clients. */
        @Test
        void leavingHostMovesOnlyItsClients() {
            mService.update(mEven, 1);
            mService.updateHosts(hosts(5, ZONES));
            List<EntryHost> before = firsts();
            mService.updateHosts(hosts(4, ZONES));
            List<EntryHost> after = firsts();

            for (int block = 0; block < 3000; block++) {
                if (!before.get(block).host().endsWith("-h4")) {
                    assertThat(after.get(block)).isEqualTo(before.get(block));
                }
            }
        }

        private List<EntryHost> firsts() {
            List<EntryHost> firsts = new java.util.ArrayList<>();
            for (int block = 0; block < 3000; block++) {
                firsts.add(mService.lookup(SERVICE, block, 0).entryHosts().getFirst());
            }
            return firsts;
        }
    }

    @Nested
    class Readers {
        /** Guards against a reader that sees parts of two versions while tables are replaced. */
        @Test
        void alwaysSeeOneVersion() throws Exception {
            Settings without = settings(3000, weights(-1, 1, 1, 1, 1, 1));
            mService.update(mEven, 1);
            mService.updateHosts(hosts(2, ZONES));
            AtomicBoolean stop = new AtomicBoolean();
            AtomicReference<String> fault = new AtomicReference<>();
            Thread reader =
                    new Thread(
                            () -> {
                                for (int i = 0; !stop.get(); i++) {
                                    LookupResponse answer = mService.lookup(SERVICE, i % 1000, 0);
                                    boolean even = answer.settingsVersion() % 2 == 0;
                                    if (even && zones(answer).contains("a1")) {
                                        fault.set("version " + answer.settingsVersion());
                                    }
                                }
                            });
            reader.start();
            for (int version = 2; version < 200; version++) {
                mService.update(version % 2 == 0 ? without : mEven, version);
            }
            stop.set(true);
            reader.join();

            assertThat(fault.get()).isNull();
        }
    }
}
