package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.routing.AttemptResult;
import org.redwingladder.routing.BackendSpec;
import org.redwingladder.routing.DispatchAction;
import org.redwingladder.routing.SiteConfig;
import org.redwingladder.routing.SiteDispatcher;
import org.redwingladder.routing.SiteRequest;
import org.redwingladder.routing.WorkClass;

/** Measures the decisions of a site's owner. */
final class CapacityDispatch {
    private static final long SECOND = 1_000_000_000L;
    private static final long SERVICE_NANOS = 5_000_000L;
    private static final int SLOTS = 4;

    private long mNow = SECOND;
    private long mId;
    private final SiteDispatcher mDispatcher;

    private CapacityDispatch(int backends) {
        List<BackendSpec> specs = new ArrayList<>();
        for (int i = 0; i < backends; i++) {
            specs.add(new BackendSpec("backend-" + i, SLOTS, 800, false));
        }
        SiteConfig config = new SiteConfig("checkout", 10 * SECOND, 0, 66, specs);
        mDispatcher =
                SiteDispatcher.create(config, AdmissionController.unlimited(), new Random(1), mNow);
    }

    /** Returns the cost of one request, from the offer to the completed attempt. */
    static CapacityLine request(int backends) {
        CapacityDispatch site = new CapacityDispatch(backends);
        return new CapacityLine(
                "ownership: decisions for one request",
                backends + " backend servers",
                0,
                CapacityMeter.cpuMicros(site::one),
                CapacityMeter.retainedBytes(() -> new CapacityDispatch(backends).mDispatcher));
    }

    private void one() {
        mNow += SERVICE_NANOS / SLOTS;
        SiteRequest request =
                new SiteRequest(
                        mId++, "zone-1", "orders", WorkClass.SHORT, mNow + 2 * SECOND, true);
        List<DispatchAction> actions = new ArrayList<>(mDispatcher.offer(request, mNow));
        actions.addAll(mDispatcher.dispatch(mNow));
        mNow += SERVICE_NANOS;
        for (DispatchAction action : actions) {
            if (action instanceof DispatchAction.Send send) {
                mDispatcher.attemptEnded(send.attempt(), AttemptResult.ANSWERED, mNow);
            }
        }
        mDispatcher.tick(mNow);
    }
}
