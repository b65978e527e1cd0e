package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.ScriptedHttpServer;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.ServerRegistration;

class GossipServiceTest {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final InetSocketAddress NOWHERE =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final EventLog mLog = EventLog.of("h1");
    private TestThread mThread;
    private AsyncHttpClient mHttpClient;
    private Undertow mListener;
    private ScriptedHttpServer mPeer;

    /** Decodes no rows; the tests only check which snapshots are requested. */
    private static final class EmptyRowDecoder implements RowDecoder {
        @Override
        public ControlRow decodeControlRow(String key, byte[] value) {
            return new ControlRow.Other();
        }

        @Override
        public ServerRegistration decodeServer(String key, byte[] value, long nowNanos)
                throws MalformedRowException {
            throw new MalformedRowException("no rows are expected");
        }
    }

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        mHttpClient = mThread.httpClient();
        mPeer =
                new ScriptedHttpServer(
                        (request, out) -> ScriptedHttpServer.respond(request, out, 503, ""));
        StoreReplica replica =
                new StoreReplica(
                        new EmptyRowDecoder(),
                        mThread.thread(),
                        mLog,
                        new ServersListener(servers -> {}));
        GossipService gossip =
                new GossipService(
                        TestConfig.host("h1", TestConfig.UNREACHABLE),
                        GossipMembership.create("h1"),
                        replica,
                        new ServerConditions("h1", mLog),
                        mHttpClient,
                        mThread.thread(),
                        mLog,
                        new EntryMetrics());
        mListener = mThread.listen(gossip);
    }

    @AfterEach
    void stop() throws Exception {
        mListener.stop();
        mHttpClient.close();
        mThread.close();
        mPeer.close();
    }

    private int push(long after) throws Exception {
        return push(mPeer, after);
    }

    private int push(ScriptedHttpServer sender, long after) throws Exception {
        PeerMessages.ChangePush push =
                new PeerMessages.ChangePush(
                        Addresses.format(sender.address()),
                        new PeerMessages.TableChanges(
                                StoreTable.SERVERS, after, after + 2, 0, List.of(), 0, 0, false));
        return send("/peer/changes", push);
    }

    private int send(String path, Object message) throws Exception {
        InetSocketAddress address =
                (InetSocketAddress) mListener.getListenerInfo().get(0).getAddress();
        try (HttpClient client = HttpClient.newHttpClient()) {
            return client.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://127.0.0.1:" + address.getPort() + path))
                                    .version(HttpClient.Version.HTTP_1_1)
                                    .POST(
                                            HttpRequest.BodyPublishers.ofByteArray(
                                                    PeerCodec.encode(message)))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        }
    }

    private boolean received(String path) throws InterruptedException {
        return received(mPeer, path);
    }

    private static boolean received(ScriptedHttpServer host, String path)
            throws InterruptedException {
        long until = System.nanoTime() + LIMIT_NANOS;
        while (System.nanoTime() - until < 0) {
            if (host.receivedRequests().stream().anyMatch(r -> r.path().equals(path))) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return false;
    }

    private static PeerMessages.GossipMessage exchange(String peerAddress, long number, long era) {
        HostState host =
                new HostState(
                        "odd", 1, 1, "z1", peerAddress, "10.0.0.1:80", true, true, 1, Map.of());
        return new PeerMessages.GossipMessage(
                "odd", List.of(host), number, number, 0, null, 0, null, 0, null, era, era);
    }

    @Nested
    class Exchanges {
        /** After a restore of the store the newer table has the lower versions. */
        @Test
        void withALaterEraFetchSnapshotsAlthoughTheirVersionsAreLower() throws Exception {
            assertThat(push(0)).isEqualTo(200);
            String address = Addresses.format(mPeer.address());
            assertThat(send("/peer/exchange", exchange(address, 0, 0))).isEqualTo(200);
            assertThat(mPeer.receivedRequests()).isEmpty();
            assertThat(send("/peer/exchange", exchange(address, 0, 2))).isEqualTo(200);
            assertThat(received("/peer/copy")).isTrue();
        }
    }

    @Nested
    class OddMessages {
        private PeerMessages.GossipMessage message(String peerAddress) {
            return exchange(peerAddress, 99, 0);
        }

        /** A snapshot request that could not be sent was never seen to end. */
        @ParameterizedTest
        @ValueSource(strings = {"nowhere", "10.0.0.1:65536", "999.0.0.1:80"})
        void withAMalformedAddressDoNotEndTheFetchingOfSnapshots(String address) throws Exception {
            send("/peer/exchange", message(address));
            assertThat(push(5)).isEqualTo(200);
            assertThat(received("/peer/copy")).isTrue();
        }

        @Test
        void withMissingFieldsAreRejected() throws Exception {
            assertThat(send("/peer/exchange", Map.of("from", "odd"))).isEqualTo(400);
            assertThat(
                            send(
                                    "/peer/exchange",
                                    Map.of("from", "odd", "hosts", List.of(Map.of("name", "x")))))
                    .isEqualTo(400);
            assertThat(send("/peer/limits", Map.of())).isEqualTo(400);
            assertThat(send("/peer/changes", Map.of())).isEqualTo(400);
        }
    }

    @Nested
    class PushedChanges {
        /**
         * Guards against use of a draining server until the next gossip round after a lost push.
         */
        @Test
        void fetchSnapshotFromSenderAfterGap() throws Exception {
            assertThat(push(5)).isEqualTo(200);
            assertThat(received("/peer/copy")).isTrue();
        }

        /**
         * Guards against a lost change while a snapshot request to an unresponsive peer is pending.
         */
        @Test
        void fetchSnapshotFromNextSenderIfFirstIsUnresponsive() throws Exception {
            try (ScriptedHttpServer unresponsive = new ScriptedHttpServer((request, out) -> true)) {
                assertThat(push(unresponsive, 5)).isEqualTo(200);
                assertThat(received(unresponsive, "/peer/copy")).isTrue();
                assertThat(push(9)).isEqualTo(200);
                assertThat(received("/peer/copy")).isTrue();
            }
        }

        /** Guards against a snapshot transfer for each change. */
        @Test
        void fetchNoSnapshotWithoutGap() throws Exception {
            assertThat(push(0)).isEqualTo(200);
            assertThat(push(2)).isEqualTo(200);
            assertThat(push(40)).isEqualTo(200);
            assertThat(received("/peer/copy")).isTrue();
            assertThat(mPeer.receivedRequests()).hasSize(1);
        }
    }
}
