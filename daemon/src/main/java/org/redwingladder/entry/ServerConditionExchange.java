package org.redwingladder.entry;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.redwingladder.http.JsonException;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.ServerLeaving;
import org.redwingladder.steering.ServerRateLimit;
import org.redwingladder.steering.ServerWarmUp;
import org.xnio.XnioIoThread;

/**
 * Tells other hosts what this host knows of backend servers beside their registrations, and takes
 * in what they tell: by pushes of what is new, and in the gossip messages.
 */
final class ServerConditionExchange {
    private static final String LIMITS = "/peer/limits";
    private static final String WARM_UPS = "/peer/warm-ups";
    private static final String LEAVINGS = "/peer/leavings";

    /** The paths of the pushes. */
    static final Set<String> PATHS = Set.of(LIMITS, WARM_UPS, LEAVINGS);

    private final ServerConditions mConditions;
    private final ServerConditionGossip<ServerRateLimit> mLimits;
    private final ServerConditionGossip<ServerWarmUp> mWarmUps;
    private final ServerConditionGossip<ServerLeaving> mLeavings;

    /** Sends a message to another host. */
    interface Sender {
        void send(String address, String path, Object message);
    }

    ServerConditionExchange(
            EntryConfig config,
            GossipMembership members,
            ServerConditions conditions,
            XnioIoThread thread,
            Sender sender) {
        mConditions = conditions;
        mLimits =
                new ServerConditionGossip<>(
                        config,
                        members,
                        conditions.rateLimits().replicated(),
                        thread,
                        (address, limits) ->
                                sender.send(
                                        address, LIMITS, new PeerMessages.RateLimitPush(limits)));
        mWarmUps =
                new ServerConditionGossip<>(
                        config,
                        members,
                        conditions.warmUps().replicated(),
                        thread,
                        (address, warmUps) ->
                                sender.send(
                                        address,
                                        WARM_UPS,
                                        new PeerMessages.WarmUpPush(toSend(warmUps))));
        mLeavings =
                new ServerConditionGossip<>(
                        config,
                        members,
                        conditions.leavings().replicated(),
                        thread,
                        (address, leavings) ->
                                sender.send(
                                        address, LEAVINGS, new PeerMessages.LeavingPush(leavings)));
    }

    private static List<PeerMessages.WarmUp> toSend(List<ServerWarmUp> warmUps) {
        return PeerMessages.WarmUp.ofAll(warmUps, System.nanoTime());
    }

    private static List<ServerWarmUp> received(List<PeerMessages.WarmUp> warmUps) {
        return PeerMessages.WarmUp.receivedAll(warmUps, System.nanoTime());
    }

    /**
     * Returns what a gossip message tells of servers.
     *
     * @param asked the message to which it is the response, null if it is none
     */
    PeerMessages.ConditionNews news(PeerMessages.@Nullable GossipMessage asked) {
        List<ServerWarmUp> warmUps =
                asked == null ? null : mWarmUps.conditionsFor(asked.warmUpsDigest());
        return new PeerMessages.ConditionNews(
                mLimits.digest(),
                asked == null ? null : mLimits.conditionsFor(asked.limitsDigest()),
                mWarmUps.digest(),
                warmUps == null ? null : toSend(warmUps),
                mLeavings.digest(),
                asked == null ? null : mLeavings.conditionsFor(asked.leavingsDigest()));
    }

    /** Takes in a gossip response, and sends its sender what that one lacks. */
    void reconcile(String address, PeerMessages.GossipMessage response) {
        List<PeerMessages.WarmUp> warmUps = response.warmUps();
        mLimits.reconcile(address, response.limitsDigest(), response.limits());
        mWarmUps.reconcile(
                address, response.warmUpsDigest(), warmUps == null ? null : received(warmUps));
        mLeavings.reconcile(address, response.leavingsDigest(), response.leavings());
    }

    /**
     * Takes in a push.
     *
     * @param path one of {@link #PATHS}
     * @throws JsonException if the body is malformed
     */
    void receive(String path, byte[] body) throws JsonException {
        switch (path) {
            case LIMITS ->
                    mConditions
                            .rateLimits()
                            .replicated()
                            .merge(
                                    PeerCodec.decode(body, PeerMessages.RateLimitPush.class)
                                            .limits());
            case WARM_UPS ->
                    mConditions
                            .warmUps()
                            .replicated()
                            .merge(
                                    received(
                                            PeerCodec.decode(body, PeerMessages.WarmUpPush.class)
                                                    .warmUps()));
            case LEAVINGS ->
                    mConditions
                            .leavings()
                            .replicated()
                            .merge(
                                    PeerCodec.decode(body, PeerMessages.LeavingPush.class)
                                            .leavings());
            default -> throw new IllegalArgumentException("unknown path " + path);
        }
    }
}
