package org.redwingladder.systemtest;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** A load generator that sends requests round-robin to the supplied daemons until it is closed. */
final class ProcessLoad implements AutoCloseable {
    private final AtomicInteger mSucceeded = new AtomicInteger();
    private final AtomicInteger mRejected = new AtomicInteger();
    private final AtomicInteger mTransportErrors = new AtomicInteger();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    ProcessLoad(HttpProbe probe, int clientThreads, Supplier<List<DaemonProcess>> targets) {
        for (int i = 0; i < clientThreads; i++) {
            int clientIndex = i;
            Thread thread =
                    Thread.ofPlatform()
                            .name("client-" + i)
                            .start(() -> send(probe, clientIndex, targets));
            mThreads.add(thread);
        }
    }

    private void send(HttpProbe probe, int clientIndex, Supplier<List<DaemonProcess>> targets) {
        int next = clientIndex;
        while (!mStopped) {
            List<DaemonProcess> daemons = targets.get();
            DaemonProcess daemon = daemons.get(next++ % daemons.size());
            try {
                HttpResponse<String> response =
                        probe.get(
                                daemon.clientAddress(),
                                "/v1/services/" + ProcessZone.SERVICE + "/seats/7");
                (response.statusCode() == 200 ? mSucceeded : mRejected).incrementAndGet();
            } catch (IOException e) {
                mTransportErrors.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    int succeeded() {
        return mSucceeded.get();
    }

    int rejected() {
        return mRejected.get();
    }

    /** Returns the number of requests that failed without an HTTP response. */
    int transportErrors() {
        return mTransportErrors.get();
    }

    @Override
    public void close() {
        finish();
    }

    /** Stops sending and waits until the requests in flight have completed. */
    void finish() {
        mStopped = true;
        for (Thread thread : mThreads) {
            joinUninterruptibly(thread);
        }
    }

    private static void joinUninterruptibly(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
