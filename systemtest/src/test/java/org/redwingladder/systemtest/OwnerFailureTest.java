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
    private static final int SENDERS = 8;

    @TempDir private Path mDirectory;

    private static List<DaemonProcess> without(ProcessZone zone, DaemonProcess daemon) {
        List<DaemonProcess> others = new ArrayList<>(zone.daemons());
        others.remove(daemon);
        return others;
    }

    private static void awaitAnswers(ProcessLoad load, int more) throws Exception {
        int before = load.answered();
        Await.until(more + " more requests are answered", () -> load.answered() >= before + more);
    }

    @Nested
    class Frozen {
        /**
         * Guards against two owners: one that is paused past its confirmation and wakes, and the
         * one that has taken over, together above the cap.
         */
        @Test
        void keepsTheCapWhenItWakes() throws Exception {
            try (ProcessZone zone = new ProcessZone(mDirectory)) {
                DaemonProcess owner = zone.awaitOwner(zone.daemons());
                List<DaemonProcess> others = without(zone, owner);
                try (ProcessLoad load = new ProcessLoad(zone.probe(), SENDERS, zone::daemons)) {
                    awaitAnswers(load, 20);
                    owner.freeze();
                    zone.awaitOwner(others);
                    awaitAnswers(load, 20);
                    owner.thaw();
                    Await.until(
                            "the former owner has given the site up",
                            () -> !owner.owns(ProcessZone.SERVICE));
                    awaitAnswers(load, 20);
                }
                assertThat(zone.backend().stats().maxInFlight())
                        .isPositive()
                        .isLessThanOrEqualTo(ProcessZone.CAP);
            }
        }
    }

    @Nested
    class Killed {
        /** Guards against work of a killed owner that its successor does not count. */
        @Test
        void keepsTheCapAcrossTheTakeover() throws Exception {
            try (ProcessZone zone = new ProcessZone(mDirectory)) {
                DaemonProcess owner = zone.awaitOwner(zone.daemons());
                List<DaemonProcess> others = without(zone, owner);
                try (ProcessLoad load = new ProcessLoad(zone.probe(), SENDERS, () -> others)) {
                    awaitAnswers(load, 20);
                    owner.kill();
                    zone.awaitOwner(others);
                    awaitAnswers(load, 20);
                    zone.start(owner.host());
                    awaitAnswers(load, 20);
                }
                assertThat(zone.backend().stats().maxInFlight())
                        .isPositive()
                        .isLessThanOrEqualTo(ProcessZone.CAP);
            }
        }
    }

    @Nested
    class PlatformDown {
        /** Guards against a zone that stops, or exceeds its cap, while the platform is down. */
        @Test
        void goesOnServingWithinTheCap() throws Exception {
            try (ProcessZone zone = new ProcessZone(mDirectory)) {
                try (ProcessLoad load = new ProcessLoad(zone.probe(), SENDERS, zone::daemons)) {
                    awaitAnswers(load, 20);
                    zone.platform().inject(PlatformFaults.NONE.withDown(true));
                    awaitAnswers(load, 200);
                    zone.platform().inject(PlatformFaults.NONE);
                    awaitAnswers(load, 20);
                }
                assertThat(zone.backend().stats().maxInFlight())
                        .isPositive()
                        .isLessThanOrEqualTo(ProcessZone.CAP);
            }
        }
    }

    @Nested
    class RollingStop {
        /** Guards against a planned stop that cuts off a request in flight or breaks the cap. */
        @Test
        void cutsOffNothing() throws Exception {
            try (ProcessZone zone = new ProcessZone(mDirectory)) {
                for (DaemonProcess daemon : zone.daemons()) {
                    List<DaemonProcess> others = without(zone, daemon);
                    try (ProcessLoad leaving =
                            new ProcessLoad(zone.probe(), SENDERS, zone::daemons)) {
                        awaitAnswers(leaving, 20);
                        daemon.terminate();
                        Await.until(daemon.host() + " is leaving", () -> !daemon.ready());
                        leaving.finish();
                        assertThat(leaving.cutOff()).as("cut off by %s", daemon.host()).isZero();
                    }
                    try (ProcessLoad load = new ProcessLoad(zone.probe(), SENDERS, () -> others)) {
                        assertThat(daemon.exitCode()).isZero();
                        awaitAnswers(load, 20);
                        DaemonProcess next = zone.start(daemon.host());
                        Await.until(next.host() + " is ready", next::ready);
                        load.finish();
                        assertThat(load.cutOff()).isZero();
                    }
                }
                assertThat(zone.backend().stats().maxInFlight())
                        .isPositive()
                        .isLessThanOrEqualTo(ProcessZone.CAP);
            }
        }
    }
}
