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

class SiteLimitsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Map<String, String> REGIONS =
            Map.of("suva", "viti", "nadi", "viti", "labasa", "vanua");

    private static SiteLimits limits(SiteCap... caps) {
        return SiteLimits.create(REGIONS, List.of(caps), Map.of(), 0);
    }

    /** Guards against sends that leave the queue closer together than the cap allows. */
    @Property(tries = 40, seed = "20261204")
    void sendsStayWithinTheCapWhateverTheQueueDoes(@ForAll long seed) {
        int cap = 50;
        SiteLimits limits = limits(new SiteCap("c", SiteCap.ANY, cap, SiteCap.UNLIMITED));
        Random random = new Random(seed);
        Deque<Admitted> waiting = new ArrayDeque<>();
        List<Long> sent = new ArrayList<>();
        for (long now = SECOND; now < 6 * SECOND; now += random.nextLong(4_000_000)) {
            if (limits.tryAdmit("suva", now) instanceof Admitted admitted) {
                waiting.add(admitted);
            }
            // The queue stands still for a while and then wants to send everything at once.
            while (random.nextInt(40) == 0 || now / SECOND % 2 == 0) {
                if (waiting.isEmpty() || !limits.trySend(waiting.peek(), now)) {
                    break;
                }
                limits.release(waiting.remove());
                sent.add(now);
            }
        }

        for (int i = cap; i < sent.size(); i++) {
            assertThat(sent.get(i) - sent.get(i - cap)).isGreaterThanOrEqualTo(SECOND);
        }
    }

    @Nested
    class Selection {
        /** Guards against requests that count under a cap of another region. */
        @Test
        void countsZonesRegionsAndAny() {
            SiteLimits limits =
                    limits(
                            new SiteCap("viti", "viti", SiteCap.UNLIMITED, 1),
                            new SiteCap("all", SiteCap.ANY, SiteCap.UNLIMITED, 2));

            assertThat(limits.tryAdmit("suva", 0)).isInstanceOf(Admitted.class);
            assertThat(limits.tryAdmit("nadi", 0))
                    .isInstanceOfSatisfying(Refused.class, r -> assertName(r, "viti"));
            assertThat(limits.tryAdmit("labasa", 0)).isInstanceOf(Admitted.class);
            assertThat(limits.tryAdmit("labasa", 0))
                    .isInstanceOfSatisfying(Refused.class, r -> assertName(r, "all"));
        }

        private void assertName(Refused refused, String cap) {
            assertThat(refused.cap()).isEqualTo(cap);
            assertThat(refused.reason()).isEqualTo(RefusalReason.CAP_IN_FLIGHT);
            assertThat(refused.retryAtNanos()).isPositive();
        }

        /** Guards against a refusal by one cap that uses up a place or token of another. */
        @Test
        void takesNothingWhenOneCapRefuses() {
            SiteLimits limits =
                    limits(
                            new SiteCap("all", SiteCap.ANY, SiteCap.UNLIMITED, 2),
                            new SiteCap("suva", "suva", SiteCap.UNLIMITED, 0));

            assertThat(limits.tryAdmit("suva", 0)).isInstanceOf(Refused.class);
            assertThat(limits.tryAdmit("nadi", 0)).isInstanceOf(Admitted.class);
            assertThat(limits.tryAdmit("nadi", 0)).isInstanceOf(Admitted.class);
        }
    }

    @Nested
    class Takeover {
        /** Guards against a new owner that ignores what the former one has in flight. */
        @Test
        void countsTheFormerOwnersWorkUntilItsDeadline() {
            SiteLimits limits = limits(new SiteCap("c", SiteCap.ANY, SiteCap.UNLIMITED, 3));
            limits.carryOver(10 * SECOND);

            assertThat(limits.tryAdmit("suva", 10 * SECOND - 1))
                    .isInstanceOfSatisfying(
                            Refused.class,
                            r -> assertThat(r.retryAtNanos()).isEqualTo(10 * SECOND));
            assertThat(limits.tryAdmit("suva", 10 * SECOND)).isInstanceOf(Admitted.class);
        }
    }

    @Nested
    class Change {
        /** Guards against a settings change that forgets or doubles what is in flight. */
        @Test
        void keepsWhatIsInFlight() {
            SiteLimits limits = limits(new SiteCap("c", SiteCap.ANY, SiteCap.UNLIMITED, 2));
            Admitted first = (Admitted) limits.tryAdmit("suva", 0);
            Admitted second = (Admitted) limits.tryAdmit("suva", 0);

            limits.change(
                    List.of(new SiteCap("c", SiteCap.ANY, SiteCap.UNLIMITED, 1)), Map.of(), 1);
            limits.release(first);
            assertThat(limits.tryAdmit("suva", 2)).isInstanceOf(Refused.class);
            limits.release(second);
            limits.release(second);
            assertThat(limits.tryAdmit("suva", 3)).isInstanceOf(Admitted.class);
            assertThat(limits.tryAdmit("suva", 3)).isInstanceOf(Refused.class);
        }
    }

    @Nested
    class Links {
        /** Guards against chunks that together exceed the rate of a link in some second. */
        @Test
        void pacesAnswersWithinTheLink() {
            long bits = 8_000_000;
            BitPacer pacer = BitPacer.createEmpty(bits, 0);
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

        /** Guards against requests let in although their answers cannot leave for seconds. */
        @Test
        void refusesWhileALinkIsFull() {
            SiteLimits limits = SiteLimits.create(REGIONS, List.of(), Map.of("vanua", 80_000L), 0);
            BitPacer pacer = requireNonNull(limits.pacerTo("labasa"));
            for (int i = 0; i < 20; i++) {
                pacer.reserve(pacer.maxChunkBytes(), 0);
            }

            assertThat(limits.tryAdmit("labasa", 0))
                    .isInstanceOfSatisfying(
                            Refused.class,
                            r -> assertThat(r.reason()).isEqualTo(RefusalReason.LINK_FULL));
            assertThat(limits.tryAdmit("suva", 0)).isInstanceOf(Admitted.class);
        }
    }
}
