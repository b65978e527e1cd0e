package org.redwingladder.request;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.redwingladder.routing.LoadReport;
import org.redwingladder.routing.SiteStatus;

/** Starts, reconfigures and stops the site owners of the sites that this host owns. */
final class SiteOwnerRegistry implements ClusterListener {
    private final PipelineContext mContext;
    private final Map<String, SiteOwner> mOwners = new ConcurrentHashMap<>();
    private final Map<String, SiteSpec> mSpecs = new ConcurrentHashMap<>();
    private final SerialExecutor mExecutor = new SerialExecutor();

    SiteOwnerRegistry(PipelineContext context) {
        mContext = context;
    }

    /** Returns the owner of a service's site in this zone; null if this host does not own it. */
    @Nullable SiteOwner owner(String service) {
        return mOwners.get(service);
    }

    @Override
    public void changed() {
        mExecutor.execute(this::reconcile);
    }

    /** Makes the running site owners match the cluster view. */
    private void reconcile() {
        Collection<String> owned = mContext.view().ownedServices();
        for (String service : owned) {
            SiteSpec spec = mContext.view().ownedSite(service);
            if (spec == null) {
                continue;
            }
            SiteOwner owner = mOwners.get(service);
            if (owner == null) {
                owner = new SiteOwner(spec, mContext);
                owner.logStart();
                mOwners.put(service, owner);
            } else if (!spec.equals(mSpecs.get(service))) {
                owner.configure(spec);
            } else {
                owner.run(owner::dispatch);
            }
            mSpecs.put(service, spec);
        }
        mOwners.forEach(
                (service, owner) -> {
                    if (!owned.contains(service)) {
                        stop(service, new CompletableFuture<>());
                    }
                });
    }

    @Override
    public CompletableFuture<Integer> stopSite(String service) {
        CompletableFuture<Integer> inFlight = new CompletableFuture<>();
        mExecutor.execute(() -> stop(service, inFlight));
        return inFlight;
    }

    private void stop(String service, CompletableFuture<Integer> inFlight) {
        SiteOwner owner = mOwners.remove(service);
        mSpecs.remove(service);
        if (owner == null) {
            inFlight.complete(0);
        } else {
            owner.stop(inFlight);
        }
    }

    @Override
    public void loadReported(String service, String backend, LoadReport report) {
        SiteOwner owner = mOwners.get(service);
        if (owner != null) {
            owner.loadReported(backend, report);
        }
    }

    /** Calls {@code receiver} with the status of each owned site. */
    void status(java.util.function.Consumer<SiteStatus> receiver) {
        mOwners.values().forEach(owner -> owner.status(receiver));
    }
}
