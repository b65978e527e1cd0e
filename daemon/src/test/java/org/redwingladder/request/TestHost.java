package org.redwingladder.request;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.HttpClientLimits;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.platform.PlatformClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The request pipeline of one entry host, listening on ephemeral ports. */
final class TestHost implements AutoCloseable {
    static final byte[] TOKEN_KEY = "0123456789abcdef0123456789abcdef".getBytes();

    final String mName;
    final FakeCluster.View mView;
    final MetricRegistry mMetrics = new MetricRegistry();
    final RequestPipeline mPipeline;
    final AsyncHttpClient mCaller;
    private final XnioWorker mWorker;
    private final TestListener mClients;
    private final TestListener mPeers;

    TestHost(FakeCluster cluster, String name, String zone, InetSocketAddress platform)
            throws IOException {
        mName = name;
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 2)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, true)
                                        .getMap());
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024, 256, 4);
        mCaller = AsyncHttpClient.create(mWorker, buffers, HttpClientLimits.defaults());
        mView = cluster.view(name, zone);
        mPipeline =
                RequestPipeline.create(
                        mView,
                        mCaller,
                        PlatformClient.create(mCaller, List.of(platform)),
                        TokenSigner.of(TOKEN_KEY),
                        mMetrics);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        mClients = TestListener.open(any, mWorker, buffers, mPipeline.clientHandler());
        mPeers = TestListener.open(any, mWorker, buffers, mPipeline.peerHandler());
        cluster.mPeerAddresses.put(name, mPeers.address());
        cluster.mClientAddresses.put(name, mClients.address());
    }

    InetSocketAddress clientAddress() {
        return mClients.address();
    }

    long counter(String name) {
        return mMetrics.counter(name).getCount();
    }

    /** Returns the number of retries for all reasons. */
    long retries() {
        return mMetrics.getCounters((name, metric) -> name.startsWith("retry.")).values().stream()
                .mapToLong(Counter::getCount)
                .sum();
    }

    @Override
    public void close() {
        mClients.close();
        mPeers.close();
        mCaller.close();
        mWorker.shutdownNow();
    }
}
