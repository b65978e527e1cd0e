package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Addresses;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.ScriptedHttpServer;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HostState;

/** Tests a host that relies on another one, which is scripted. */
class FreshnessServiceTest {
    private final MemoryStore mStore = new MemoryStore();
    private TestThread mThread;
    private AsyncHttpClient mHttpClient;
    private ScriptedHttpServer mPeer;
    private MemoryStore.Client mClient;
    private StoreReplica mReplica;
    private FreshnessService mService;
    private Undertow mListener;
    private volatile byte[] mAnswer = {};
    private volatile int mStatus = 200;

    @BeforeEach
    void start() throws Exception {
        mThread = new TestThread();
        mHttpClient = mThread.httpClient();
        mPeer = new ScriptedHttpServer((request, out) -> respond(out));
        mStore.put(StoreTable.SERVERS, "s1", TestRowDecoder.ready("s1", 1).value());
        mClient = mStore.new Client(mThread.thread());
        GossipMembership members = GossipMembership.create("h1");
        EventLog log = EventLog.of("h1");
        mReplica =
                new StoreReplica(
                        new TestRowDecoder(), mThread.thread(), log, new ServersListener(s -> {}));
        mService =
                new FreshnessService(
                        TestConfig.host("h1", TestConfig.UNREACHABLE),
                        members,
                        mReplica,
                        mHttpClient,
                        mThread.thread(),
                        log,
                        new EntryMetrics());
        mListener = mThread.listen(mService);
        mThread.run(
                () -> {
                    members.merge(List.of(peerState()), System.nanoTime());
                    mReplica.start(mClient, changes -> {});
                    mService.start(mClient);
                });
    }

    @AfterEach
    void stop() throws Exception {
        mThread.run(mService::stop);
        mThread.run(mReplica::stop);
        mListener.stop();
        mPeer.close();
        mHttpClient.close();
        mThread.close();
    }

    private static StoreVersion version(long number) {
        return new StoreVersion(0, number);
    }

    private HostState peerState() {
        String address = Addresses.format(mPeer.address());
        return new HostState("h2", 1, 1, "z1", address, address, true, true, 1, Map.of());
    }

    private boolean respond(OutputStream out) throws IOException {
        byte[] body = mAnswer;
        String head = "HTTP/1.1 " + mStatus + " X\r\nContent-Length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        return true;
    }

    /** Lets the peer state that its tables, of which one has changed, are up to date. */
    private void answer(long changed) {
        mAnswer =
                PeerCodec.encode(
                        new FreshnessMessages.Answer(
                                true,
                                List.of(
                                        new FreshnessMessages.Statement(
                                                StoreTable.CONTROL, version(60), version(0), 0L),
                                        new FreshnessMessages.Statement(
                                                StoreTable.SERVERS,
                                                version(60),
                                                version(changed),
                                                0L)),
                                List.of()));
    }

    private void awaitQuestion() throws Exception {
        mThread.await(() -> !mPeer.receivedRequests().isEmpty());
    }

    private void awaitCallToTheStore() throws Exception {
        mThread.await(() -> mClient.polls() > 0);
    }

    @Nested
    class AnswersOfTheHostThatFollowsTheStore {
        @Test
        void replaceCallsToTheStore() throws Exception {
            answer(1);
            awaitQuestion();
            TimeUnit.SECONDS.sleep(2);
            assertThat(mClient.polls()).isZero();
            assertThat(mReplica.table(StoreTable.SERVERS).position()).isEqualTo(version(60));
        }

        /** A host that lacks a change would take its table for up to date. */
        @Test
        void proveNothingWithoutTheLastChange() throws Exception {
            answer(50);
            awaitQuestion();
            awaitCallToTheStore();
        }

        /** A host of an earlier release does not know the question. */
        @Test
        void areNotAwaitedFromAnEarlierRelease() throws Exception {
            mStatus = 404;
            awaitQuestion();
            awaitCallToTheStore();
            TimeUnit.SECONDS.sleep(2);
            assertThat(mPeer.receivedRequests()).hasSize(1);
        }

        @Test
        void ofAnInvalidFormAreNone() throws Exception {
            mAnswer = PeerCodec.encode(Map.of("statements", List.of(Map.of("position", 1))));
            awaitQuestion();
            awaitCallToTheStore();
        }
    }

    @Nested
    class Questions {
        private HttpResponse<byte[]> ask(Object question) throws Exception {
            InetSocketAddress address =
                    (InetSocketAddress) mListener.getListenerInfo().get(0).getAddress();
            URI uri = URI.create("http://127.0.0.1:" + address.getPort() + FreshnessService.PATH);
            try (HttpClient client = HttpClient.newHttpClient()) {
                return client.send(
                        HttpRequest.newBuilder(uri)
                                .version(HttpClient.Version.HTTP_1_1)
                                .POST(
                                        HttpRequest.BodyPublishers.ofByteArray(
                                                PeerCodec.encode(question)))
                                .build(),
                        HttpResponse.BodyHandlers.ofByteArray());
            }
        }

        private FreshnessMessages.Answer answerTo(long position) throws Exception {
            return PeerCodec.decode(
                    ask(new FreshnessMessages.Question(
                                    Map.of(StoreTable.SERVERS, version(position))))
                            .body(),
                    FreshnessMessages.Answer.class);
        }

        @Test
        void areAnsweredWithTheChangesThatTheOtherHostLacks() throws Exception {
            mThread.await(() -> mReplica.table(StoreTable.SERVERS).position().equals(version(1)));
            assertThat(answerTo(0).snapshots())
                    .filteredOn(snapshot -> snapshot.table() == StoreTable.SERVERS)
                    .singleElement()
                    .satisfies(snapshot -> assertThat(snapshot.rows()).hasSize(1));
            assertThat(answerTo(1).snapshots())
                    .noneMatch(snapshot -> snapshot.table() == StoreTable.SERVERS);
        }

        @Test
        void ofAnInvalidFormAreRejected() throws Exception {
            assertThat(ask(Map.of()).statusCode()).isEqualTo(400);
        }
    }
}
