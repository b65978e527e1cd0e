package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.http.HttpClientLimits;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** An I/O thread that owns the state of the hosts under test; runs the steps of a test on it. */
final class TestThread implements AutoCloseable {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final XnioWorker mWorker;

    TestThread() throws Exception {
        mWorker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    }

    XnioIoThread thread() {
        return mWorker.getIoThread(0);
    }

    /** Returns an HTTP client that runs on the thread. */
    AsyncHttpClient httpClient() {
        return AsyncHttpClient.create(
                mWorker, new DefaultByteBufferPool(true, 16_384), HttpClientLimits.defaults());
    }

    /** Starts a listener on the thread, at an ephemeral port. */
    Undertow listen(HttpHandler handler) {
        Undertow listener =
                Undertow.builder()
                        .setWorker(mWorker)
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(handler)
                        .build();
        listener.start();
        return listener;
    }

    /** Runs a step on the thread and waits for its end. */
    void run(Runnable step) throws Exception {
        CompletableFuture.runAsync(step, thread()).get(20, TimeUnit.SECONDS);
    }

    /** Runs a step on the thread and returns its result. */
    <T> T call(Callable<T> step) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        thread().execute(
                        () -> {
                            try {
                                result.complete(step.call());
                            } catch (Exception e) {
                                result.completeExceptionally(e);
                            }
                        });
        return result.get(20, TimeUnit.SECONDS);
    }

    /** Waits up to 20 s until a condition, which is evaluated on the thread, is true. */
    void await(Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + TIMEOUT_NANOS;
        while (!call(condition) && System.nanoTime() - until < 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(call(condition)).isTrue();
    }

    @Override
    public void close() {
        mWorker.shutdownNow();
    }
}
