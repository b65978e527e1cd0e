package org.redwingladder.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.redwingladder.api.Refusal;
import org.redwingladder.limits.AdmissionController;
import org.redwingladder.limits.SiteCap;
import org.redwingladder.retry.RetryBudget;
import org.redwingladder.retry.RetryDecision;
import org.redwingladder.routing.BackendSpec;
import org.redwingladder.routing.DispatchAction;
import org.redwingladder.routing.SiteConfig;
import org.redwingladder.routing.SiteRequest;
import org.redwingladder.routing.SiteWaitTracker;
import org.redwingladder.routing.WorkClass;

/** Drives the decision logic of ingress and site owners over the fake. */
final class PolicyOurs implements PolicyRouter {
    final PolicyWorld mWorld;
    final PolicyOptions mOptions;
    private final Map<Integer, PolicySite> mSites = new HashMap<>();
    private final Ingress[] mHosts;

    PolicyOurs(PolicyWorld world, PolicyOptions options) {
        mWorld = world;
        mOptions = options;
        int zones = world.mDeployment.zones().size();
        for (int zone = 0; zone < zones; zone++) {
            mSites.put(zone, new PolicySite(this, zone, limits(zone)));
        }
        mHosts = new Ingress[zones * PolicyWorkload.HOSTS_PER_ZONE];
        for (int host = 0; host < mHosts.length; host++) {
            mHosts[host] = new Ingress(sites(host));
        }
    }

    /** Holds what one entry host remembers as an ingress. */
    private static final class Ingress {
        private final List<SiteWaitTracker.Site> mSites;
        private final SiteWaitTracker mShortLoads = SiteWaitTracker.create();
        private final SiteWaitTracker mLongLoads = SiteWaitTracker.create();
        private final RetryBudget mShortBudget = RetryBudget.create();
        private final RetryBudget mLongBudget = RetryBudget.create();

        Ingress(List<SiteWaitTracker.Site> sites) {
            mSites = sites;
        }

        /** Refused long work must not use up what short work has earned. */
        RetryBudget budget(WorkClass workClass) {
            return workClass == WorkClass.SHORT ? mShortBudget : mLongBudget;
        }

        SiteWaitTracker loads(WorkClass workClass) {
            return workClass == WorkClass.SHORT ? mShortLoads : mLongLoads;
        }
    }

    /** Returns the sites that a host may try; hosts of one zone order far ones differently. */
    private List<SiteWaitTracker.Site> sites(int host) {
        int own = host / PolicyWorkload.HOSTS_PER_ZONE;
        List<SiteWaitTracker.Site> sites = new ArrayList<>();
        for (int zone : mSites.keySet()) {
            long roundTrip = 2 * mWorld.mDeployment.delayNanos(own, zone);
            sites.add(new SiteWaitTracker.Site(String.valueOf(zone), roundTrip));
        }
        Collections.shuffle(sites, new Random(host));
        return sites;
    }

    private AdmissionController limits(int zone) {
        Map<String, String> regions = new HashMap<>();
        for (int z = 0; z < mWorld.mDeployment.zones().size(); z++) {
            regions.put(String.valueOf(z), "r" + mWorld.mDeployment.regionOf(z));
        }
        List<SiteCap> caps = new ArrayList<>();
        int slots = 0;
        for (PolicyServer server : mWorld.mServers) {
            slots += server.mZone == zone ? server.mSlots : 0;
        }
        if (mOptions.capShare() > 0) {
            double capacity = slots * PolicyWorld.SECOND / PolicyWorkload.SHORT_NANOS;
            long perSecond = (long) (mOptions.capShare() * capacity);
            mWorld.mCaps.put(zone, perSecond);
            caps.add(new SiteCap("site", SiteCap.ANY, perSecond, SiteCap.UNLIMITED));
        }
        return AdmissionController.create(regions, caps, Map.of(), 0);
    }

    SiteConfig config(int zone, List<PolicyServer> servers) {
        List<BackendSpec> specs = new ArrayList<>();
        int each = Math.max(1, mWorld.mService.connections() / mWorld.mServers.size());
        for (PolicyServer server : servers) {
            if (server.mZone == zone) {
                specs.add(new BackendSpec(server.mName, server.mSlots, each, false));
            }
        }
        return new SiteConfig(
                mWorld.mService.name(),
                PolicyWorkload.LONG_DEADLINE_NANOS,
                mOptions.rampNanos(),
                mOptions.longSlotsPercent(),
                specs);
    }

    /** Starts without backend servers that come later. */
    void startWithout(List<PolicyServer> later) {
        List<PolicyServer> now = new ArrayList<>(mWorld.mServers);
        now.removeAll(later);
        mSites.values().forEach(site -> site.configure(now));
    }

    void configureAll() {
        mSites.values().forEach(site -> site.configure(mWorld.mServers));
    }

    PolicySite site(int zone) {
        return mSites.get(zone);
    }

    @Override
    public void arrived(PolicyRequest request) {
        Ingress ingress = mHosts[request.mHost];
        ingress.budget(request.mWorkClass).recordRequest();
        send(request, ingress, new ArrayList<>(ingress.mSites));
    }

    /** Sends a request to the best of the sites that it has not been sent to yet. */
    private void send(PolicyRequest request, Ingress ingress, List<SiteWaitTracker.Site> left) {
        mWorld.mAttempts++;
        SiteWaitTracker loads = ingress.loads(request.mWorkClass);
        SiteWaitTracker known = mOptions.loads() ? loads : SiteWaitTracker.create();
        List<SiteWaitTracker.Site> order = known.rank(left, mWorld.now());
        SiteWaitTracker.Site best = order.get(0);
        int tokens = ingress.budget(request.mWorkClass).tokens();
        long patience =
                mOptions.patience()
                        ? known.maxWaitNanos(order, tokens, mWorld.now())
                        : Long.MAX_VALUE;
        left.remove(best);
        loads.recordSend(best.name(), mWorld.now());
        int zone = Integer.parseInt(best.name());
        long delay = best.roundTripNanos() / 2;
        SiteRequest offered =
                new SiteRequest(
                        request.mId,
                        String.valueOf(request.mZone),
                        "",
                        request.mWorkClass,
                        deadline(request, delay),
                        request.mIdempotent);
        PolicySite site = mSites.get(zone);
        PolicySite.Reply reply =
                (refuse, wait) ->
                        mWorld.mEvents.after(
                                delay,
                                () -> {
                                    loads.recordWait(best.name(), wait, mWorld.now());
                                    if (refuse != null) {
                                        refused(request, ingress, left, refuse);
                                    }
                                });
        mWorld.mEvents.after(delay, () -> site.offer(request, offered, patience, reply));
    }

    /** Returns when the owner's answer must be ready. */
    private long deadline(PolicyRequest request, long delay) {
        return mOptions.deadlines()
                ? request.mDeadlineNanos
                        - PolicyDeployment.CLIENT_NANOS
                        - request.mDetourNanos
                        - delay
                : Long.MAX_VALUE / 2;
    }

    private void refused(
            PolicyRequest request,
            Ingress ingress,
            List<SiteWaitTracker.Site> left,
            DispatchAction.Refuse refuse) {
        mWorld.count(refuse.reason().wireName() + " " + refuse.outcome());
        Refusal refusal =
                new Refusal(
                        refuse.reason(), refuse.outcome(), refuse.retryAtNanos() / 1_000_000, "");
        RetryDecision.FailedAttempt attempted =
                new RetryDecision.FailedAttempt(
                        request.mIdempotent, false, left.size(), request.mDeadlineNanos);
        RetryDecision decision =
                mOptions.retryAtWill()
                        ? atWill(attempted, refusal)
                        : RetryDecision.decide(
                                attempted,
                                refusal,
                                ingress.budget(request.mWorkClass),
                                mWorld.now());
        switch (decision) {
            case RetryDecision.Retry retry -> send(request, ingress, left);
            case RetryDecision.Fail giveUp -> {
                mWorld.count("final " + giveUp.answer().reason().wireName());
                mWorld.refused(request, PolicyDeployment.CLIENT_NANOS);
            }
        }
    }

    private static RetryDecision atWill(RetryDecision.FailedAttempt attempted, Refusal refusal) {
        return attempted.untriedSites() > 0
                ? new RetryDecision.Retry()
                : new RetryDecision.Fail(refusal);
    }
}
