package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServerRateLimitTableTest {
    private static final long SECOND = 1_000_000_000L;
    private static final RateLimitStatement NONE = new RateLimitStatement.Unlimited();

    private final ServerRegistration mServer = server(1);
    private final ServerRateLimitTable mTable = table("h1");
    private final ServerRateLimitTable mOther = table("h2");

    private static ServerRegistration server(long started) {
        return new ServerRegistration("s", "a", "10.0.0.1:80", "z", 4, false, started, 0);
    }

    private ServerRateLimitTable table(String host) {
        ServerRateLimitTable table = ServerRateLimitTable.create(host);
        table.updateServers(List.of(server(1)), 0);
        return table;
    }

    private static RateLimitStatement limit(double perSecond) {
        return new RateLimitStatement.Limited(perSecond);
    }

    private @Nullable ServerRateLimit record(RateLimitStatement statement, long sent, long now) {
        return mTable.recordAnswer(mServer, statement, sent, now);
    }

    private double perSecond() {
        return mTable.perSecond(mServer);
    }

    @Nested
    class Answers {
        @Test
        void nameChangeAndWithdrawALimit() {
            assertThat(perSecond()).isInfinite();
            record(limit(5.3), 0, 1);
            assertThat(perSecond()).isEqualTo(5.3);
            record(limit(2), 2, 3);
            assertThat(perSecond()).isEqualTo(2);
            record(NONE, 4, 5);
            assertThat(perSecond()).isInfinite();
        }

        /** An answer to a request from before the limit was known may be older than the limit. */
        @Test
        void overtakenAnswerDoesNotChangeLimit() {
            record(limit(3), 10, 20);
            assertThat(record(NONE, 15, 30)).isNull();
            assertThat(record(limit(50), 20, 31)).isNull();
            assertThat(perSecond()).isEqualTo(3);
            record(NONE, 21, 40);
            assertThat(record(limit(3), 35, 45)).isNull();
            assertThat(perSecond()).isInfinite();
        }

        @Test
        void unreadableLimitLeavesTheOneInForce() {
            record(limit(3), 0, 1);
            assertThat(record(new RateLimitStatement.Unreadable("3,4"), 2, 3)).isNull();
            assertThat(perSecond()).isEqualTo(3);
        }

        @Test
        void invalidRatesAreRejected() {
            for (double rate : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
                assertThatThrownBy(() -> limit(rate)).isInstanceOf(IllegalArgumentException.class);
                assertThatThrownBy(() -> new ServerRateLimit("s", 1, rate, 1, "h"))
                        .isInstanceOf(IllegalArgumentException.class);
            }
        }
    }

    @Nested
    class Hosts {
        /** An older entry of another host must not restore a withdrawn limit. */
        @Test
        void withdrawalReplacesLimitOnAllHosts() {
            record(limit(3), 0, 1);
            mOther.merge(mTable.registered(), 2);
            record(NONE, 3, 4);
            assertThat(mTable.merge(mOther.registered(), 5)).isEmpty();
            assertThat(perSecond()).isInfinite();
            assertThat(mOther.merge(mTable.registered(), 6)).hasSize(1);
            assertThat(mOther.perSecond(mServer)).isInfinite();
            assertThat(mTable.digest()).isEqualTo(mOther.digest());
        }

        @Test
        void agreeOnTheLowerOfConcurrentLimits() {
            record(limit(3), 0, 1);
            mOther.recordAnswer(mServer, limit(9), 0, 1);
            List<ServerRateLimit> others = mOther.registered();
            mOther.merge(mTable.registered(), 2);
            mTable.merge(others, 2);
            assertThat(perSecond()).isEqualTo(3);
            assertThat(mOther.perSecond(mServer)).isEqualTo(3);
            assertThat(mTable.digest()).isEqualTo(mOther.digest());
        }

        @Test
        void differentLimitsHaveDifferentDigests() {
            assertThat(mTable.digest()).isEqualTo(mOther.digest());
            record(limit(3), 0, 1);
            long named = mTable.digest();
            assertThat(named).isNotEqualTo(mOther.digest());
            record(NONE, 2, 3);
            assertThat(mTable.digest()).isNotEqualTo(named);
        }
    }

    @Nested
    class Incarnations {
        /** A restarted server holds nothing of before; its id and address may be the same. */
        @Test
        void restartedServerHasNoLimit() {
            record(limit(3), 0, 1);
            mTable.updateServers(List.of(server(2)), 2);
            assertThat(mTable.perSecond(server(2))).isInfinite();
            assertThat(mTable.registered()).isEmpty();
        }

        /** News of a limit may arrive before news of the server. */
        @Test
        void limitOfUnknownServerIsKeptForAWhile() {
            mTable.merge(List.of(new ServerRateLimit("s", 2, 4.0, 1, "h2")), 0);
            mTable.updateServers(List.of(server(2)), SECOND);
            assertThat(mTable.perSecond(server(2))).isEqualTo(4);
        }

        /** Hosts would send each other the limits of a server that has left for ever. */
        @Test
        void limitOfRemovedServerIsNeitherForwardedNorKept() {
            record(limit(3), 0, 1);
            mTable.updateServers(List.of(), SECOND);
            assertThat(mTable.registered()).isEmpty();
            assertThat(perSecond()).isEqualTo(3);
            mTable.removeExpired(60 * SECOND);
            assertThat(perSecond()).isInfinite();
        }
    }
}
