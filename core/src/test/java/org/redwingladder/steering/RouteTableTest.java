package org.redwingladder.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    static Route route(String name, String host, String prefix, WeightedService... destinations) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.IDEMPOTENT,
                800,
                250,
                1,
                List.of(destinations),
                2,
                true,
                Set.of());
    }

    static SteeringSettings settings(Route... routes) {
        return new SteeringSettings(
                1,
                List.of(routes),
                Map.of("a", new ServiceSpec("a", 100, 3000, 9.5)),
                new ClientLimits(16384, 1 << 20, 3000, 15000));
    }

    private static final RouteTable TABLE =
            RouteTable.of(
                    settings(
                            route("short", "shop.example", "/x/", new WeightedService("a", 1)),
                            route("long", "shop.example", "/x/y/", new WeightedService("a", 1)),
                            route("other", "other.example", "/", new WeightedService("a", 1))));

    @Nested
    class Match {
        /** A shorter prefix must not take precedence over a longer one. */
        @Test
        void longestPrefixWins() {
            assertThat(TABLE.match("shop.example", "/x/y/z").name()).isEqualTo("long");
            assertThat(TABLE.match("shop.example", "/x/yz").name()).isEqualTo("short");
        }

        /** A prefix must not match a part of a path segment. */
        @Test
        void matchesWholePathSegments() {
            assertThat(TABLE.match("shop.example", "/xy/")).isNull();
            assertThat(TABLE.match("shop.example", "/x")).isNull();
        }

        /** Requests must not match routes of another host name. */
        @Test
        void matchesHostNameIgnoringCaseAndPort() {
            assertThat(TABLE.match("unknown.example", "/x/")).isNull();
            assertThat(TABLE.match("Other.Example:8080", "/any").name()).isEqualTo("other");
        }
    }

    @Nested
    class Validation {
        /** Settings must not route requests to a service that does not exist. */
        @Test
        void rejectsUnknownServices() {
            Route bad = route("bad", "h", "/", new WeightedService("missing", 1));
            assertThatThrownBy(() -> settings(bad))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("missing");
        }

        /** A prefix without a trailing slash would match parts of path segments. */
        @Test
        void rejectsPrefixesWithoutSlashes() {
            assertThatThrownBy(() -> route("bad", "h", "/x", new WeightedService("a", 1)))
                    .hasMessageContaining("slash");
        }
    }
}
