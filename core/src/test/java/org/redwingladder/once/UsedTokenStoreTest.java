package org.redwingladder.once;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UsedTokenStoreTest {
    private static final long LONGEST = 100;

    private final UsedTokenStore mStore = UsedTokenStore.create("h1", 7, 3, 1000);
    private final SingleUseToken mToken = mStore.issue("checkout", 500);

    private static StoredResponse outcome(int length) {
        return StoredResponse.of(200, Map.of(), new byte[length]);
    }

    @Nested
    class Signing {
        private final TokenSigner mSigner =
                TokenSigner.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8));

        /** Guards against a token that changes on its way to the client and back. */
        @Test
        void survivesTheRoundTrip() throws Exception {
            assertThat(mSigner.verify(mSigner.sign(mToken))).isEqualTo(mToken);
        }

        /** Guards against forged, truncated and malformed tokens. */
        @Test
        void refusesEveryChangedCharacter() {
            String text = mSigner.sign(mToken);
            for (int i = 0; i < text.length(); i++) {
                char changed = text.charAt(i) == 'A' ? 'B' : 'A';
                // The last character of base64 may carry unused bits.
                if (i == text.length() - 1 || i == text.indexOf('.') - 1) {
                    continue;
                }
                String forged = text.substring(0, i) + changed + text.substring(i + 1);
                assertThatThrownBy(() -> mSigner.verify(forged)).isInstanceOf(InvalidTokenException.class);
            }
            for (String malformed : new String[] {"", ".", "a.b", "x".repeat(5000), text + "."}) {
                assertThatThrownBy(() -> mSigner.verify(malformed))
                        .isInstanceOf(InvalidTokenException.class);
            }
        }

        /** Guards against tokens of another deployment. */
        @Test
        void refusesAnotherKey() {
            TokenSigner other = TokenSigner.of("fedcba9876543210".getBytes(StandardCharsets.UTF_8));

            assertThatThrownBy(() -> mSigner.verify(other.sign(mToken)))
                    .isInstanceOf(InvalidTokenException.class)
                    .hasMessageContaining("not signed with the key");
        }
    }

    @Nested
    class Use {
        /** Guards against work sent again while the first run is open or lost. */
        @Test
        void startsOnceUntilCertainlyNotRun() {
            assertThat(mStore.begin(mToken, 0, LONGEST))
                    .isEqualTo(new UsedTokenStore.BeginResult.Started());
            assertThat(mStore.begin(mToken, 1, LONGEST)).isEqualTo(new UsedTokenStore.BeginResult.Spent());
            mStore.recordNotRun(mToken);
            assertThat(mStore.begin(mToken, 2, LONGEST))
                    .isEqualTo(new UsedTokenStore.BeginResult.Started());
            mStore.recordUnknown(mToken);
            mStore.recordNotRun(mToken);
            assertThat(mStore.begin(mToken, 3, LONGEST)).isEqualTo(new UsedTokenStore.BeginResult.Spent());
        }

        /** Guards against a repeated request that gets another answer than the first. */
        @Test
        void repeatsTheOutcomeUntilItIsForgotten() {
            mStore.begin(mToken, 0, LONGEST);
            mStore.recordResponse(mToken, outcome(10));

            assertThat(mStore.begin(mToken, 599, LONGEST))
                    .isEqualTo(new UsedTokenStore.BeginResult.Completed(outcome(10)));
            assertThat(mStore.begin(mToken, 600, LONGEST))
                    .isEqualTo(new UsedTokenStore.BeginResult.Expired(false));
            assertThat(mStore.bytes()).isZero();
        }

        /** Guards against an expired, unused token whose work is called unknown. */
        @Test
        void tellsWhetherAnExpiredTokenCanHaveRun() {
            assertThat(mStore.begin(mToken, 500, LONGEST))
                    .isEqualTo(new UsedTokenStore.BeginResult.Expired(true));
        }

        /** Guards against forgetting work that still runs. */
        @Test
        void keepsRunningWork() {
            mStore.begin(mToken, 0, LONGEST);

            assertThat(mStore.begin(mToken, 10_000, LONGEST))
                    .isEqualTo(new UsedTokenStore.BeginResult.Spent());
        }

        /** Guards against tokens of an earlier incarnation or another host. */
        @Test
        void refusesForeignTokens() {
            UsedTokenStore restarted = UsedTokenStore.create("h1", 8, 3, 1000);

            assertThat(restarted.begin(mToken, 0, LONGEST))
                    .isEqualTo(new UsedTokenStore.BeginResult.Foreign());
        }
    }

    @Nested
    class Bounds {
        /** Guards against a ledger that makes room by forgetting used tokens. */
        @Test
        void fullLedgerStartsNothing() {
            for (int i = 0; i < 3; i++) {
                mStore.begin(mStore.issue("checkout", 500), 0, LONGEST);
            }

            assertThat(mStore.begin(mToken, 0, LONGEST)).isEqualTo(new UsedTokenStore.BeginResult.Full());
            assertThat(mStore.size()).isEqualTo(3);
        }

        /** Guards against outcomes without limit, and against a token that is free without one. */
        @Test
        void outcomeThatIsNotKeptLeavesTheTokenSpent() {
            mStore.begin(mToken, 0, LONGEST);
            mStore.recordResponse(mToken, outcome(2000));

            assertThat(mStore.bytes()).isZero();
            assertThat(mStore.begin(mToken, 1, LONGEST)).isEqualTo(new UsedTokenStore.BeginResult.Spent());
        }
    }

    /** Decides whether a token may be used, and can be restarted. */
    private interface Ledger {
        boolean begin(SingleUseToken token, long now);

        void recordNotRun(SingleUseToken token);

        Ledger restart();
    }

    private record Ours(UsedTokenStore ledger, long incarnation) implements Ledger {
        @Override
        public boolean begin(SingleUseToken token, long now) {
            return ledger.begin(token, now, LONGEST) instanceof UsedTokenStore.BeginResult.Started;
        }

        @Override
        public void recordNotRun(SingleUseToken token) {
            ledger.recordNotRun(token);
        }

        @Override
        public Ledger restart() {
            long next = incarnation + 1;
            return new Ours(UsedTokenStore.create("h1", next, 1000, 1000), next);
        }
    }

    /** Honours the tokens of its host whatever the incarnation, and forgets on a restart. */
    private record Forgetful(Map<Long, Boolean> used) implements Ledger {
        @Override
        public boolean begin(SingleUseToken token, long now) {
            return now < token.expiresAt() && used.put(token.number(), true) == null;
        }

        @Override
        public void recordNotRun(SingleUseToken token) {
            used.remove(token.number());
        }

        @Override
        public Ledger restart() {
            return new Forgetful(new HashMap<>());
        }
    }

    /** Guards guarantee 5: no token starts work twice, whatever is retried and restarted. */
    @Property(tries = 200, seed = "5")
    void startsAtMostOnce(@ForAll long seed) {
        Ours ours = new Ours(UsedTokenStore.create("h1", 1, 1000, 1000), 1);
        assertThat(mostRuns(seed, ours)).isLessThanOrEqualTo(1);
    }

    @Nested
    class Naive {
        /** Guards against a property that cannot fail. */
        @Test
        void ledgerThatForgetsOnRestartIsCaught() {
            int worst = 0;
            for (long seed = 0; seed < 20; seed++) {
                worst = Math.max(worst, mostRuns(seed, new Forgetful(new HashMap<>())));
            }
            assertThat(worst).isGreaterThan(1);
        }
    }

    /** Returns the most runs of one token over a random history. */
    private static int mostRuns(long seed, Ledger first) {
        Random random = new Random(seed);
        Ledger ledger = first;
        Map<Long, Integer> runs = new HashMap<>();
        int worst = 0;
        for (long now = 0; now < 700; now += random.nextInt(5)) {
            long number = random.nextInt(10);
            SingleUseToken token = new SingleUseToken("h1", 1, number, "checkout", 300 + 10 * number);
            if (random.nextInt(20) == 0) {
                ledger = ledger.restart();
            } else if (ledger.begin(token, now)) {
                if (random.nextInt(4) == 0) {
                    ledger.recordNotRun(token);
                } else {
                    worst = Math.max(worst, runs.merge(number, 1, Integer::sum));
                }
            }
        }
        return worst;
    }
}
