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
    private static final long LONGEST_REQUEST_MILLIS = 100;

    private final UsedTokenStore mStore = UsedTokenStore.create("h1", 7, 3, 1000);
    private final SingleUseToken mToken = mStore.issue("checkout", 500);

    private static StoredResponse response(int length) {
        return StoredResponse.of(200, Map.of(), new byte[length]);
    }

    @Nested
    class Signing {
        private final TokenSigner mSigner =
                TokenSigner.of("0123456789abcdef".getBytes(StandardCharsets.UTF_8));

        /** Guards against an encoding of tokens that loses information. */
        @Test
        void roundTripsThroughSigning() throws Exception {
            assertThat(mSigner.verify(mSigner.sign(mToken))).isEqualTo(mToken);
        }

        /** Guards against forged, truncated and malformed tokens. */
        @Test
        void rejectsTamperedAndMalformedTokens() {
            String text = mSigner.sign(mToken);
            for (int i = 0; i < text.length(); i++) {
                char changed = text.charAt(i) == 'A' ? 'B' : 'A';
                // The last character of base64 may carry unused bits.
                if (i == text.length() - 1 || i == text.indexOf('.') - 1) {
                    continue;
                }
                String forged = text.substring(0, i) + changed + text.substring(i + 1);
                assertThatThrownBy(() -> mSigner.verify(forged))
                        .isInstanceOf(InvalidTokenException.class);
            }
            for (String malformed : new String[] {"", ".", "a.b", "x".repeat(5000), text + "."}) {
                assertThatThrownBy(() -> mSigner.verify(malformed))
                        .isInstanceOf(InvalidTokenException.class);
            }
        }

        /** Guards against tokens signed with the key of another deployment. */
        @Test
        void rejectsTokensSignedWithAnotherKey() {
            TokenSigner other = TokenSigner.of("fedcba9876543210".getBytes(StandardCharsets.UTF_8));

            assertThatThrownBy(() -> mSigner.verify(other.sign(mToken)))
                    .isInstanceOf(InvalidTokenException.class)
                    .hasMessageContaining("not signed with the key");
        }
    }

    @Nested
    class Use {
        /** Guards against duplicate execution while a run is in progress or its end is unknown. */
        @Test
        void tokenIsReusableOnlyIfWorkCertainlyDidNotRun() {
            assertThat(mStore.begin(mToken, 0, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Started());
            assertThat(mStore.begin(mToken, 1, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Spent());
            mStore.recordNotRun(mToken);
            assertThat(mStore.begin(mToken, 2, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Started());
            mStore.recordUnknown(mToken);
            mStore.recordNotRun(mToken);
            assertThat(mStore.begin(mToken, 3, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Spent());
        }

        /** Guards against a retried request that gets another response than the first. */
        @Test
        void replaysTheResponseUntilTheTokenIsEvicted() {
            mStore.begin(mToken, 0, LONGEST_REQUEST_MILLIS);
            mStore.recordResponse(mToken, response(10));

            assertThat(mStore.begin(mToken, 599, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Completed(response(10)));
            assertThat(mStore.begin(mToken, 600, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Expired(false));
            assertThat(mStore.bytes()).isZero();
        }

        /** Guards against an unknown outcome for an expired token that was certainly not used. */
        @Test
        void expiredUnusedTokenHasCertainlyNotRun() {
            assertThat(mStore.begin(mToken, 500, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Expired(true));
        }

        /** Guards against the eviction of a token whose work is still running. */
        @Test
        void runningWorkIsNotEvicted() {
            mStore.begin(mToken, 0, LONGEST_REQUEST_MILLIS);

            assertThat(mStore.begin(mToken, 10_000, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Spent());
        }

        /** Guards against tokens of an earlier incarnation, whose uses are not recorded. */
        @Test
        void rejectsTokensOfAnEarlierIncarnation() {
            UsedTokenStore restarted = UsedTokenStore.create("h1", 8, 3, 1000);

            assertThat(restarted.begin(mToken, 0, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Foreign());
        }
    }

    @Nested
    class Capacity {
        /** Guards against a full store that evicts used tokens before they expire. */
        @Test
        void fullStoreStartsNoWork() {
            for (int i = 0; i < 3; i++) {
                mStore.begin(mStore.issue("checkout", 500), 0, LONGEST_REQUEST_MILLIS);
            }

            assertThat(mStore.begin(mToken, 0, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Full());
            assertThat(mStore.size()).isEqualTo(3);
        }

        /** Guards against unbounded responses, and against a token reusable without one. */
        @Test
        void tokenStaysSpentIfItsResponseIsTooLarge() {
            mStore.begin(mToken, 0, LONGEST_REQUEST_MILLIS);
            mStore.recordResponse(mToken, response(2000));

            assertThat(mStore.bytes()).isZero();
            assertThat(mStore.begin(mToken, 1, LONGEST_REQUEST_MILLIS))
                    .isEqualTo(new UsedTokenStore.BeginResult.Spent());
        }
    }

    /** A store of used tokens that can be restarted. */
    private interface TokenStore {
        boolean begin(SingleUseToken token, long now);

        void recordNotRun(SingleUseToken token);

        TokenStore restart();
    }

    private record IncarnationAwareStore(UsedTokenStore store, long incarnation)
            implements TokenStore {
        @Override
        public boolean begin(SingleUseToken token, long now) {
            return store.begin(token, now, LONGEST_REQUEST_MILLIS)
                    instanceof UsedTokenStore.BeginResult.Started;
        }

        @Override
        public void recordNotRun(SingleUseToken token) {
            store.recordNotRun(token);
        }

        @Override
        public TokenStore restart() {
            long next = incarnation + 1;
            return new IncarnationAwareStore(UsedTokenStore.create("h1", next, 1000, 1000), next);
        }
    }

    /** Accepts tokens of any incarnation of its host, and loses its state on a restart. */
    private record IncarnationUnawareStore(Map<Long, Boolean> used) implements TokenStore {
        @Override
        public boolean begin(SingleUseToken token, long now) {
            return now < token.expiresAt() && used.put(token.number(), true) == null;
        }

        @Override
        public void recordNotRun(SingleUseToken token) {
            used.remove(token.number());
        }

        @Override
        public TokenStore restart() {
            return new IncarnationUnawareStore(new HashMap<>());
        }
    }

    /** Guards guarantee 5, at-most-once execution, across retries and restarts. */
    @Property(tries = 200, seed = "5")
    void startsAtMostOnce(@ForAll long seed) {
        IncarnationAwareStore store =
                new IncarnationAwareStore(UsedTokenStore.create("h1", 1, 1000, 1000), 1);
        assertThat(mostRuns(seed, store)).isLessThanOrEqualTo(1);
    }

    @Nested
    class IgnoredIncarnation {
        /** Guards against a vacuous property: a store that ignores incarnations violates it. */
        @Test
        void violatesAtMostOnce() {
            int highest = 0;
            for (long seed = 0; seed < 20; seed++) {
                highest =
                        Math.max(
                                highest,
                                mostRuns(seed, new IncarnationUnawareStore(new HashMap<>())));
            }
            assertThat(highest).isGreaterThan(1);
        }
    }

    /** Returns the most runs of one token in a random sequence of retries and restarts. */
    private static int mostRuns(long seed, TokenStore first) {
        Random random = new Random(seed);
        TokenStore store = first;
        Map<Long, Integer> runs = new HashMap<>();
        int highest = 0;
        for (long now = 0; now < 700; now += random.nextInt(5)) {
            long number = random.nextInt(10);
            SingleUseToken token =
                    new SingleUseToken("h1", 1, number, "checkout", 300 + 10 * number);
            if (random.nextInt(20) == 0) {
                store = store.restart();
            } else if (store.begin(token, now)) {
                if (random.nextInt(4) == 0) {
                    store.recordNotRun(token);
                } else {
                    highest = Math.max(highest, runs.merge(number, 1, Integer::sum));
                }
            }
        }
        return highest;
    }
}
