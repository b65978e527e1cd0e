package org.redwingladder.systemtest;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.redwingladder.standin.PlatformFaults;

class OwnerFailureTest {
    private static final int CLIENT_THREADS = 8;

    @TempDir private Path mDirectory;

    private static List<DaemonProcess> without(ProcessZone zone, DaemonProcess daemon) {
        List<DaemonProcess> others = new ArrayList<>(zone.daemons());
        others.remove(daemon);
        return others;
    }

    private static void awaitSuccesses(ProcessLoad load, int count) throws Exception {
        int before = load.succeeded();
        Await.until(count + " more requests succeed", () -> load.succeeded() >= before + count);
    }

    @Nested
    class OwnerSuspended {
        /**
         * Guards against two concurrent owners that together exceed the cap: one that resumes after
         * its confirmation has expired, and its successor.
         */
        @Test
        void ownerKeepsTheCapAfterItResumes() throws Exception {
            try (ProcessZone zone = new ProcessZone(mDirectory)) {
                DaemonProcess owner = zone.awaitOwner(zone.daemons());
                List<DaemonProcess> others = without(zone, owner);
                try (ProcessLoad load =
                        new ProcessLoad(zone.probe(), CLIENT_THREADS, zone::daemons)) {
                    awaitSuccesses(load, 20);
                    owner.suspend();
                    zone.awaitOwner(others);
                    awaitSuccesses(load, 20);
                    owner.resume();
                    Await.until(
                            "the former owner has released the site",
                            () -> !owner.owns(ProcessZone.SERVICE));
                    awaitSuccesses(load, 20);
                }
                assertThat(zone.backend().stats().maxInFlight())
                        .isPositive()
                        .isLessThanOrEqualTo(ProcessZone.CAP);
            }
        }
    }

    @Nested
    class OwnerKilled {
        /** Guards against a successor that ignores the killed owner's in-flight requests. */
        @Test
        void successorKeepsTheCapAfterFailover() throws Exception {
            try (ProcessZone zone = new ProcessZone(mDirectory)) {
                DaemonProcess owner = zone.awaitOwner(zone.daemons());
                List<DaemonProcess> others = without(zone, owner);
                try (ProcessLoad load =
                        new ProcessLoad(zone.probe(), CLIENT_THREADS, () -> others)) {
                    awaitSuccesses(load, 20);
                    owner.kill();
                    zone.awaitOwner(others);
                    awaitSuccesses(load, 20);
                    zone.start(owner.host());
                    awaitSuccesses(load, 20);
                }
                assertThat(zone.backend().stats().maxInFlight())
                        .isPositive()
                        .isLessThanOrEqualTo(ProcessZone.CAP);
            }
        }
    }

    @Nested
    class PlatformDown {
        /** Guards against an outage or an exceeded cap in a zone while the platform is down. */
        @Test
        void zoneKeepsServingWithinTheCap() throws Exception {
            try (ProcessZone zone = new ProcessZone(mDirectory)) {
                try (ProcessLoad load =
                        new ProcessLoad(zone.probe(), CLIENT_THREADS, zone::daemons)) {
                    awaitSuccesses(load, 20);
                    zone.platform().inject(PlatformFaults.NONE.withDown(true));
                    awaitSuccesses(load, 200);
                    zone.platform().inject(PlatformFaults.NONE);
                    awaitSuccesses(load, 20);
                }
                assertThat(zone.backend().stats().maxInFlight())
                        .isPositive()
                        .isLessThanOrEqualTo(ProcessZone.CAP);
            }
        }
    }

    @Nested
    class RollingRestart {
        /** Guards against a graceful shutdown that aborts in-flight requests or exceeds the cap. */
        @Test
        void abortsNoInFlightRequest() throws Exception {
            try (ProcessZone zone = new ProcessZone(mDirectory)) {
                for (DaemonProcess daemon : zone.daemons()) {
                    List<DaemonProcess> others = without(zone, daemon);
                    try (ProcessLoad loadDuringShutdown =
                            new ProcessLoad(zone.probe(), CLIENT_THREADS, zone::daemons)) {
                        awaitSuccesses(loadDuringShutdown, 20);
                        daemon.terminate();
                        Await.until(daemon.host() + " is no longer ready", () -> !daemon.ready());
                        loadDuringShutdown.finish();
                        assertThat(loadDuringShutdown.transportErrors())
                                .as("requests aborted by the shutdown of %s", daemon.host())
                                .isZero();
                    }
                    try (ProcessLoad load =
                            new ProcessLoad(zone.probe(), CLIENT_THREADS, () -> others)) {
                        assertThat(daemon.exitCode()).isZero();
                        awaitSuccesses(load, 20);
                        DaemonProcess restarted = zone.start(daemon.host());
                        Await.until(restarted.host() + " is ready", restarted::ready);
                        load.finish();
                        assertThat(load.transportErrors()).isZero();
                    }
                }
                assertThat(zone.backend().stats().maxInFlight())
                        .isPositive()
                        .isLessThanOrEqualTo(ProcessZone.CAP);
            }
        }
    }
}
