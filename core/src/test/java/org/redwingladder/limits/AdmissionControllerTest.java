package org.redwingladder.limits;

import static java.util.Objects.requireNonNull;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.limits.Admission.Admitted;
import org.redwingladder.limits.Admission.Refused;

class AdmissionControllerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Map<String, String> REGIONS =
            Map.of("suva", "viti", "nadi", "viti", "labasa", "vanua");

    private static AdmissionController controller(SiteCap... caps) {
        return AdmissionController.create(REGIONS, List.of(caps), Map.of(), 0);
    }

    /** A queue that drains must not send requests faster than the cap allows. */
    @Property(tries = 40, seed = "20261204")
    void sendsStayWithinTheCapWhenAStalledQueueDrains(@ForAll long seed) {
        int cap = 50;
        AdmissionController controller =
                controller(new SiteCap("c", SiteCap.ANY, cap, SiteCap.UNLIMITED));
        Random random = new Random(seed);
        Deque<Admitted> waiting = new ArrayDeque<>();
        List<Long> sent = new ArrayList<>();
        for (long now = SECOND; now < 6 * SECOND; now += random.nextLong(4_000_000)) {
            if (controller.tryAdmit("suva", now) instanceof Admitted admitted) {
                waiting.add(admitted);
            }
            // The queue stalls for a second and then tries to send everything at once.
            while (random.nextInt(40) == 0 || now / SECOND % 2 == 0) {
                if (waiting.isEmpty() || !controller.trySend(waiting.peek(), now)) {
                    break;
                }
                controller.release(waiting.remove());
                sent.add(now);
            }
        }

        for (int i = cap; i < sent.size(); i++) {
            assertThat(sent.get(i) - sent.get(i - cap)).isGreaterThanOrEqualTo(SECOND);
        }
    }

    @Nested
    class CapSelection {
        /** Requests must not count against the cap of another region. */
        @Test
        void appliesCapsOfZoneRegionAndAny() {
            AdmissionController controller =
                    controller(
                            new SiteCap("viti", "viti", SiteCap.UNLIMITED, 1),
                            new SiteCap("all", SiteCap.ANY, SiteCap.UNLIMITED, 2));

            assertThat(controller.tryAdmit("suva", 0)).isInstanceOf(Admitted.class);
            assertThat(controller.tryAdmit("nadi", 0))
                    .isInstanceOfSatisfying(Refused.class, r -> assertName(r, "viti"));
            assertThat(controller.tryAdmit("labasa", 0)).isInstanceOf(Admitted.class);
            assertThat(controller.tryAdmit("labasa", 0))
                    .isInstanceOfSatisfying(Refused.class, r -> assertName(r, "all"));
        }

        private void assertName(Refused refused, String cap) {
            assertThat(refused.cap()).isEqualTo(cap);
            assertThat(refused.reason()).isEqualTo(RefusalReason.CAP_IN_FLIGHT);
            assertThat(refused.retryAtNanos()).isPositive();
        }

        /** A refusal by one cap must not consume a permit or token of another. */
        @Test
        void refusalByOneCapConsumesNothingOfAnother() {
            AdmissionController controller =
                    controller(
                            new SiteCap("all", SiteCap.ANY, SiteCap.UNLIMITED, 2),
                            new SiteCap("suva", "suva", SiteCap.UNLIMITED, 0));

            assertThat(controller.tryAdmit("suva", 0)).isInstanceOf(Refused.class);
            assertThat(controller.tryAdmit("nadi", 0)).isInstanceOf(Admitted.class);
            assertThat(controller.tryAdmit("nadi", 0)).isInstanceOf(Admitted.class);
        }
    }

    @Nested
    class OwnerChange {
        /** A new owner that ignores the former owner's requests in flight would exceed the cap. */
        @Test
        void countsInFlightWorkOfFormerOwnerUntilItsDeadline() {
            AdmissionController controller =
                    controller(new SiteCap("c", SiteCap.ANY, SiteCap.UNLIMITED, 3));
            controller.inheritInFlight(10 * SECOND);

            assertThat(controller.tryAdmit("suva", 10 * SECOND - 1))
                    .isInstanceOfSatisfying(
                            Refused.class,
                            r -> assertThat(r.retryAtNanos()).isEqualTo(10 * SECOND));
            assertThat(controller.tryAdmit("suva", 10 * SECOND)).isInstanceOf(Admitted.class);
        }
    }

    @Nested
    class SettingsUpdate {
        /** A settings update must neither drop nor double the count of requests in flight. */
        @Test
        void keepsInFlightCount() {
            AdmissionController controller =
                    controller(new SiteCap("c", SiteCap.ANY, SiteCap.UNLIMITED, 2));
            Admitted first = (Admitted) controller.tryAdmit("suva", 0);
            Admitted second = (Admitted) controller.tryAdmit("suva", 0);

            controller.update(
                    List.of(new SiteCap("c", SiteCap.ANY, SiteCap.UNLIMITED, 1)), Map.of(), 1);
            controller.release(first);
            assertThat(controller.tryAdmit("suva", 2)).isInstanceOf(Refused.class);
            controller.release(second);
            controller.release(second);
            assertThat(controller.tryAdmit("suva", 3)).isInstanceOf(Admitted.class);
            assertThat(controller.tryAdmit("suva", 3)).isInstanceOf(Refused.class);
        }
    }

    @Nested
    class Links {
        /** Chunks must not exceed the link's rate in any window of one second. */
        @Test
        void pacesChunksWithinTheLinkRate() {
            long bits = 8_000_000;
            LinkPacer pacer = LinkPacer.createEmpty(bits, 0);
            Random random = new Random(7);
            List<long[]> sends = new ArrayList<>();
            for (int i = 0; i < 2000; i++) {
                long bytes = 1 + random.nextLong(pacer.maxChunkBytes());
                sends.add(new long[] {pacer.reserve(bytes, i * 100_000L), 8 * bytes});
            }

            for (int first = 0; first < sends.size(); first++) {
                long sum = 0;
                for (int i = first; i < sends.size(); i++) {
                    if (sends.get(i)[0] - sends.get(first)[0] < SECOND) {
                        sum += sends.get(i)[1];
                    }
                }
                assertThat(sum).isLessThanOrEqualTo(bits);
            }
        }

        /** Requests must not be admitted while their answers would wait seconds for the link. */
        @Test
        void refusesWhileTheLinkIsBacklogged() {
            AdmissionController controller =
                    AdmissionController.create(REGIONS, List.of(), Map.of("vanua", 80_000L), 0);
            LinkPacer pacer = requireNonNull(controller.pacerTo("labasa"));
            for (int i = 0; i < 20; i++) {
                pacer.reserve(pacer.maxChunkBytes(), 0);
            }

            assertThat(controller.tryAdmit("labasa", 0))
                    .isInstanceOfSatisfying(
                            Refused.class,
                            r -> assertThat(r.reason()).isEqualTo(RefusalReason.LINK_FULL));
            assertThat(controller.tryAdmit("suva", 0)).isInstanceOf(Admitted.class);
        }
    }
}
