package org.redwingladder.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SpecificationTest {

    @Nested
    class CorrectProtocol {
        /** Guards against a protocol step that violates an invariant or a liveness property. */
        @ParameterizedTest(name = "{1}")
        @CsvSource({
            "Ownership, Ownership",
            "Ownership, OwnershipCutOff",
            "Settings, Settings",
            "Settings, SettingsSpread",
            "CapShift, CapShift",
            "Once, OnceToken",
            "Once, OnceClaim"
        })
        void satisfiesItsProperties(String module, String config) throws Exception {
            Tlc.Run run = Tlc.check(module, config);

            assertThat(run.exitCode()).as(run.output()).isEqualTo(Tlc.NO_ERROR);
            assertThat(run.output()).contains("No error has been found");
        }
    }

    @Nested
    class BrokenVariant {
        /** Guards against a specification whose invariants hold vacuously. */
        @ParameterizedTest(name = "{1}")
        @CsvSource({
            "Ownership, OwnershipNoSettleWait, OneOwner",
            "Ownership, OwnershipAckOldEpoch, OneOwner",
            "Ownership, OwnershipIgnoreFormerWork, WithinCap",
            "Settings, SettingsNoFloor, NeverReverts",
            "CapShift, CapShiftAtOnce, WithinCap",
            "Once, OnceTokenHonourOld, AtMostOnce",
            "Once, OnceClaimRepeat, AtMostOnce"
        })
        void violatesItsInvariant(String module, String config, String invariant) throws Exception {
            Tlc.Run run = Tlc.check(module, config);

            assertThat(run.exitCode()).as(run.output()).isEqualTo(Tlc.SAFETY_VIOLATION);
            assertThat(run.output()).contains("Invariant " + invariant + " is violated");
        }
    }
}
