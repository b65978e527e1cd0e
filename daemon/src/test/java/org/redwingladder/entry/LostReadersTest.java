package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.steering.HostResources;
import org.redwingladder.steering.ServerRegistration;

/** Tests hosts of a region whose readers of the store no longer learn its changes. */
class LostReadersTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final MemoryStore mStore = new MemoryStore();
    private final List<Host> mHosts = new ArrayList<>();

    /** A host that records whether it knows that a server leaves. */
    private final class Host implements RowDecoder {
        private final EntryHost mHost;
        private final MemoryStore.Client mClient;
        private final TestRowDecoder mDecoder = new TestRowDecoder();
        private volatile boolean mDrainingSeen;

        Host(String name, InetSocketAddress peers, InetSocketAddress seed) throws Exception {
            EntryConfig config =
                    new EntryConfig(
                            name,
                            "z1",
                            Map.of("z1", "r1"),
                            freeAddress(),
                            freeAddress(),
                            freeAddress(),
                            peers,
                            List.of(seed),
                            TestConfig.UNREACHABLE,
                            new HostResources(1, 1000),
                            new EntryConfig.Bounds(2000, 5000, 0.2, 100, 10_000));
            mHost = EntryHost.create(config, noClients(), this, EventLog.of(name));
            mClient = mStore.new Client(mHost.thread());
            mHost.start(mClient);
        }

        @Override
        public ControlRow decodeControlRow(String key, byte[] value) {
            return mDecoder.decodeControlRow(key, value);
        }

        @Override
        public ServerRegistration decodeServer(String key, byte[] value, long nowNanos) {
            ServerRegistration server = mDecoder.decodeServer(key, value, nowNanos);
            mDrainingSeen |= server.draining();
            return server;
        }
    }

    private static InetSocketAddress freeAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private static WireFormat noClients() {
        return (WireFormat)
                Proxy.newProxyInstance(
                        WireFormat.class.getClassLoader(),
                        new Class<?>[] {WireFormat.class},
                        (proxy, method, arguments) -> {
                            throw new UnsupportedOperationException(method.getName());
                        });
    }

    @BeforeEach
    void start() throws Exception {
        mStore.put(StoreTable.SERVERS, "s1", TestRowDecoder.ready("s1", 1).value());
        InetSocketAddress seed = freeAddress();
        for (int i = 0; i < 4; i++) {
            mHosts.add(new Host("h" + i, i == 0 ? seed : freeAddress(), seed));
        }
    }

    @AfterEach
    void stop() {
        mHosts.forEach(host -> host.mHost.close());
    }

    private static void await(List<Host> hosts) throws InterruptedException {
        long until = System.nanoTime() + TIMEOUT_NANOS;
        while (!hosts.stream().allMatch(host -> host.mDrainingSeen)
                && System.nanoTime() - until < 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Nested
    class LeavingServers {
        /** Readers that get no answers stay alive for the other hosts. */
        @Test
        void areKnownToTheOtherHostsOfReadersThatTheStoreDoesNotAnswer() throws Exception {
            TimeUnit.SECONDS.sleep(3);
            List<Integer> polls = mHosts.stream().map(host -> host.mClient.polls()).toList();
            TimeUnit.MILLISECONDS.sleep(2_500);
            List<Host> others = new ArrayList<>();
            for (int i = 0; i < mHosts.size(); i++) {
                Host host = mHosts.get(i);
                if (host.mClient.polls() > polls.get(i)) {
                    host.mClient.fallSilent();
                } else {
                    others.add(host);
                }
            }
            assertThat(others).hasSize(2);
            mStore.put(StoreTable.SERVERS, "s1", TestRowDecoder.draining("s1", 2).value());
            await(others);
            assertThat(others).allMatch(host -> host.mDrainingSeen);
        }
    }
}
