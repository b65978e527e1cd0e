package org.redwingladder.entry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.JsonException;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.ServerLeaving;
import org.redwingladder.steering.ServerRateLimit;

class PeerCodecTest {
    private static PeerMessages.GossipMessage gossipMessage(int hosts) {
        List<HostState> entries = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            entries.add(
                    new HostState(
                            "edge-zone-" + i,
                            1_796_364_213_283L + i,
                            1000 + i,
                            "zone-" + i % 9,
                            "10.1." + i + ".3:8544",
                            "10.1." + i + ".3:8548",
                            true,
                            true,
                            60,
                            Map.of("calendar", 3.25 + i, "booking", 1.5 + i)));
        }
        return new PeerMessages.GossipMessage(
                "edge-zone-1",
                entries,
                17,
                42,
                99,
                List.of(new ServerRateLimit("i-1", 1, 5.3, 2, "h1")),
                98,
                List.of(
                        new PeerMessages.WarmUp("i-1", 1, 2500L, 2, "h1"),
                        new PeerMessages.WarmUp("i-2", 1, null, 1, "h2")),
                97,
                List.of(new ServerLeaving("i-3", 1, "h1")),
                3,
                4);
    }

    @Nested
    class EarlierBuilds {
        /** Hosts of two builds run side by side during an update. */
        @Test
        void sendChangesWithoutAnEra() throws Exception {
            byte[] sent =
                    PeerCodec.encode(
                            Map.of(
                                    "table",
                                    "SERVERS",
                                    "after",
                                    7,
                                    "position",
                                    9,
                                    "holdMillis",
                                    0,
                                    "rows",
                                    List.of()));
            PeerMessages.TableChanges read =
                    PeerCodec.decode(sent, PeerMessages.TableChanges.class);
            assertThat(read.afterVersion()).isEqualTo(new StoreVersion(0, 7));
            assertThat(read.version()).isEqualTo(new StoreVersion(0, 9));
            assertThat(read.difference()).isFalse();
        }
    }

    @Nested
    class RoundTrip {
        /** Guards against entries that are lost or altered by the encoding. */
        @Test
        void preservesMessage() throws Exception {
            PeerMessages.GossipMessage sent = gossipMessage(200);
            PeerMessages.GossipMessage read =
                    PeerCodec.decode(PeerCodec.encode(sent), PeerMessages.GossipMessage.class);
            assertThat(read).isEqualTo(sent);
        }

        /** Guards against gossip traffic at the size of plain JSON. */
        @Test
        void compressesGossipToLessThanAFifth() {
            PeerMessages.GossipMessage sent = gossipMessage(100);
            int text = org.redwingladder.http.Json.write(sent).length;
            assertThat(PeerCodec.encode(sent).length).isLessThan(text / 5);
        }
    }

    @Nested
    class OtherReleases {
        /** Guards against a host that does not talk to one of the release before. */
        @Test
        void messageWithoutRateLimitsIsRead() throws Exception {
            record Former(
                    String from, List<HostState> hosts, long controlChanged, long serversChanged) {}
            PeerMessages.GossipMessage read =
                    PeerCodec.decode(
                            PeerCodec.encode(new Former("h", List.of(), 17, 42)),
                            PeerMessages.GossipMessage.class);
            assertThat(read.limitsDigest()).isZero();
            assertThat(read.limits()).isNull();
            assertThat(read.warmUpsDigest()).isZero();
            assertThat(read.warmUps()).isNull();
            assertThat(read.leavingsDigest()).isZero();
            assertThat(read.leavings()).isNull();
            Former former = PeerCodec.decode(PeerCodec.encode(gossipMessage(1)), Former.class);
            assertThat(former.serversChanged()).isEqualTo(42);
        }
    }

    @Nested
    class MalformedInput {
        @Test
        void rateLimitsThatAreMissingOrNegativeAreRejected() {
            for (Object message :
                    List.of(
                            Map.of(),
                            Map.of("limits", List.of(Map.of("server", "i", "perSecond", -1))))) {
                assertThatThrownBy(
                                () ->
                                        PeerCodec.decode(
                                                PeerCodec.encode(message),
                                                PeerMessages.RateLimitPush.class))
                        .isInstanceOf(JsonException.class);
            }
        }

        @Test
        void warmUpsThatAreMissingOrOfImpossibleLengthAreRejected() {
            for (Object message :
                    List.of(
                            Map.of(),
                            Map.of("warmUps", List.of(Map.of("server", "i", "coldMillis", -1))),
                            Map.of(
                                    "warmUps",
                                    List.of(Map.of("server", "i", "coldMillis", 1L << 60))))) {
                assertThatThrownBy(
                                () ->
                                        PeerCodec.decode(
                                                PeerCodec.encode(message),
                                                PeerMessages.WarmUpPush.class))
                        .isInstanceOf(JsonException.class);
            }
        }

        /**
         * Guards against unchecked exceptions and against malformed messages taken as empty ones.
         */
        @Test
        void rejectsMalformedMessages() {
            byte[] whole = PeerCodec.encode(gossipMessage(50));
            for (byte[] bad :
                    List.of(
                            new byte[0],
                            "{}".getBytes(UTF_8),
                            Arrays.copyOf(whole, whole.length / 2),
                            PeerCodec.encode("text"))) {
                assertThatThrownBy(() -> PeerCodec.decode(bad, PeerMessages.GossipMessage.class))
                        .isInstanceOf(JsonException.class);
            }
        }

        /** Guards against heap exhaustion by a decompression bomb. */
        @Test
        void rejectsDecompressionBomb() {
            byte[] bomb = PeerCodec.encode("x".repeat(40 << 20));
            assertThat(bomb.length).isLessThan(1 << 20);
            assertThatThrownBy(() -> PeerCodec.decode(bomb, String.class))
                    .hasMessageContaining("more than");
        }
    }
}
