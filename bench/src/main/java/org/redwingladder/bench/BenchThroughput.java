package org.redwingladder.bench;

import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.BufferedResponse;
import org.redwingladder.http.CallException;
import org.redwingladder.http.CallRequest;
import org.redwingladder.http.ResponseHandler;
import org.redwingladder.http.StreamedResponse;

/** Compares requests through one entry host with the same client straight to the backend server. */
final class BenchThroughput {
    private static final HttpString GET = new HttpString("GET");
    private static final int CONCURRENT = 48;
    private static final int WARM_UP = 20_000;
    private static final int REQUESTS = 60_000;
    private static final double NANOS_PER_MICRO = 1e3;

    private final AsyncHttpClient mCaller;
    private final InetSocketAddress mAddress;
    private final String mPath;

    private BenchThroughput(AsyncHttpClient caller, InetSocketAddress address, String path) {
        mCaller = caller;
        mAddress = address;
        mPath = path;
    }

    /**
     * Holds one run.
     *
     * @param perSecond whole answers a second
     * @param latency latencies in nanoseconds
     */
    private record Run(double perSecond, Histogram latency) {
        double micros(double percentile) {
            return latency.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
        }
    }

    static List<Bench.Line> run() throws Exception {
        try (BenchCluster cluster = new BenchCluster(1, 1)) {
            cluster.awaitReady();
            BenchThroughput direct =
                    new BenchThroughput(
                            cluster.mCaller,
                            BenchCluster.address(cluster.mBackend.address()),
                            "/fast");
            BenchThroughput through =
                    new BenchThroughput(
                            cluster.mCaller,
                            BenchCluster.address(cluster.mDaemons.get(0).clientAddress()),
                            "/v1/services/" + BenchCluster.SERVICE + "/fast");
            direct.requests(WARM_UP);
            through.requests(WARM_UP);
            Run baseline = direct.requests(REQUESTS);
            Run ours = through.requests(REQUESTS);
            return List.of(
                    new Bench.Line(
                            "answers a second through one entry host",
                            baseline.perSecond(),
                            ours.perSecond()),
                    new Bench.Line("latency p50 in us", baseline.micros(50), ours.micros(50)),
                    new Bench.Line("latency p99 in us", baseline.micros(99), ours.micros(99)));
        }
    }

    private Run requests(int count) throws InterruptedException {
        Histogram latency = new ConcurrentHistogram(3);
        AtomicInteger left = new AtomicInteger(count);
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < CONCURRENT; i++) {
            next(left, failed, done, latency);
        }
        done.await();
        double seconds = (System.nanoTime() - start) / 1e9;
        if (failed.get() > 0) {
            throw new IllegalStateException(failed.get() + " of " + count + " requests failed");
        }
        return new Run(count / seconds, latency);
    }

    private void next(
            AtomicInteger left, AtomicInteger failed, CountDownLatch done, Histogram latency) {
        if (left.getAndDecrement() <= 0) {
            return;
        }
        long sentAt = System.nanoTime();
        CallRequest request = CallRequest.of(GET, mAddress, mPath, BenchCluster.deadline());
        mCaller.send(
                request,
                new ResponseHandler() {
                    @Override
                    public void buffered(BufferedResponse answer) {
                        if (answer.status() != 200) {
                            failed.incrementAndGet();
                        }
                        ended();
                    }

                    @Override
                    public void streamed(StreamedResponse answer) {
                        failed.incrementAndGet();
                        ended();
                    }

                    @Override
                    public void failed(CallException failure) {
                        failed.incrementAndGet();
                        ended();
                    }

                    private void ended() {
                        latency.recordValue(System.nanoTime() - sentAt);
                        done.countDown();
                        next(left, failed, done, latency);
                    }
                });
    }
}
