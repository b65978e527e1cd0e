package org.redwingladder.systemtest;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Sends requests in turn to the daemons that a supplier names, until it is closed. */
final class ProcessLoad implements AutoCloseable {
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mCutOff = new AtomicInteger();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    ProcessLoad(HttpProbe probe, int senders, Supplier<List<DaemonProcess>> targets) {
        for (int i = 0; i < senders; i++) {
            int sender = i;
            Thread thread =
                    Thread.ofPlatform()
                            .name("sender-" + i)
                            .start(() -> send(probe, sender, targets));
            mThreads.add(thread);
        }
    }

    private void send(HttpProbe probe, int sender, Supplier<List<DaemonProcess>> targets) {
        int turn = sender;
        while (!mStopped) {
            List<DaemonProcess> daemons = targets.get();
            DaemonProcess daemon = daemons.get(turn++ % daemons.size());
            try {
                HttpResponse<String> answer =
                        probe.get(
                                daemon.client(),
                                "/v1/services/" + ProcessZone.SERVICE + "/seats/7");
                (answer.statusCode() == 200 ? mAnswered : mRefused).incrementAndGet();
            } catch (IOException e) {
                mCutOff.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    int answered() {
        return mAnswered.get();
    }

    int refused() {
        return mRefused.get();
    }

    /** Returns the requests that failed without an HTTP answer. */
    int cutOff() {
        return mCutOff.get();
    }

    @Override
    public void close() {
        finish();
    }

    /** Sends nothing more and waits for the answers that are due. */
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
