package org.redwingladder.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.api.RefusalReason;

class ClosedLinkTest {
    private static final Map<String, String> REGIONS = Map.of("suva", "viti", "labasa", "vanua");

    /** A site must be able to start while its share of a link is 0. */
    @Nested
    class ZeroBandwidth {
        @Test
        void refusesOnlyRequestsOverTheLink() {
            AdmissionController controller =
                    AdmissionController.create(REGIONS, List.of(), Map.of("vanua", 0L), 0);

            assertThat(controller.tryAdmit("labasa", 5))
                    .isInstanceOfSatisfying(
                            Admission.Refused.class,
                            refused ->
                                    assertThat(refused.reason())
                                            .isEqualTo(RefusalReason.LINK_FULL));
            assertThat(controller.tryAdmit("suva", 5)).isInstanceOf(Admission.Admitted.class);
        }

        @Test
        void reopensWithPositiveBandwidth() {
            AdmissionController controller =
                    AdmissionController.create(REGIONS, List.of(), Map.of("vanua", 0L), 0);

            controller.update(List.of(), Map.of("vanua", 1_000_000L), 10);

            assertThat(controller.tryAdmit("labasa", 20)).isInstanceOf(Admission.Admitted.class);
            assertThat(controller.pacerTo("labasa")).isNotNull();
        }
    }
}
