package org.redwingladder.entry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.redwingladder.steering.GossipMembership;
import org.redwingladder.steering.HostState;
import org.redwingladder.steering.ServerCondition;
import org.xnio.XnioIoThread;

/**
 * Spreads the conditions of backend servers to all hosts.
 *
 * <p>A host forwards each condition that is new to it to a few random hosts once, which reaches
 * nearly all hosts within a few round trips. The remaining ones learn the conditions by the gossip
 * messages, which carry a digest and, if the digests differ, the conditions.
 *
 * @param <T> the kind of condition
 */
final class ServerConditionGossip<T extends ServerCondition<T>> {
    /** The hosts of the same zone to which a host forwards a condition. */
    private static final int ZONE_FANOUT = 2;

    /** The other hosts to which a host forwards a condition. */
    private static final int FANOUT = 3;

    /** Conditions that change again within this time are forwarded together. */
    private static final long GATHERING_MILLIS = 200;

    private final EntryConfig mConfig;
    private final GossipMembership mMembers;
    private final ReplicatedConditions<T> mConditions;
    private final XnioIoThread mThread;
    private final Sender<T> mSender;
    private final Map<String, T> mUnsent = new LinkedHashMap<>();
    private boolean mGathering;

    /** Sends conditions to a host. */
    interface Sender<T> {
        void send(String address, List<T> conditions);
    }

    ServerConditionGossip(
            EntryConfig config,
            GossipMembership members,
            ReplicatedConditions<T> conditions,
            XnioIoThread thread,
            Sender<T> sender) {
        mConfig = config;
        mMembers = members;
        mConditions = conditions;
        mThread = thread;
        mSender = sender;
        mConditions.forwarder(this::forward);
    }

    private void forward(List<T> conditions) {
        conditions.forEach(condition -> mUnsent.put(condition.server(), condition));
        if (!mGathering) {
            sendGathered();
        }
    }

    private void sendGathered() {
        mGathering = !mUnsent.isEmpty();
        if (!mGathering) {
            return;
        }
        List<T> conditions = List.copyOf(mUnsent.values());
        mUnsent.clear();
        for (HostState host : selectReceivers()) {
            mSender.send(host.peerAddress(), conditions);
        }
        mThread.executeAfter(this::sendGathered, GATHERING_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Set<HostState> selectReceivers() {
        List<HostState> others = new ArrayList<>(mMembers.alive(System.nanoTime()));
        others.removeIf(host -> host.name().equals(mConfig.host()));
        Collections.shuffle(others, ThreadLocalRandom.current());
        Set<HostState> receivers = new LinkedHashSet<>();
        others.stream()
                .filter(host -> host.zone().equals(mConfig.zone()))
                .limit(ZONE_FANOUT)
                .forEach(receivers::add);
        others.removeAll(receivers);
        others.stream().limit(FANOUT).forEach(receivers::add);
        return receivers;
    }

    /** Returns a hash of the conditions, which hosts compare before they send them. */
    long digest() {
        return mConditions.digest();
    }

    /** Returns the conditions for a host with the given digest, null if it knows them. */
    @Nullable List<T> conditionsFor(long digest) {
        return digest == mConditions.digest() ? null : mConditions.registered();
    }

    /**
     * Merges the conditions of a host's gossip response and sends the host those that it lacks.
     *
     * @param digest the digest of the host's conditions
     * @param conditions the host's conditions, null if both hosts knew the same
     */
    void reconcile(String address, long digest, @Nullable List<T> conditions) {
        if (conditions == null) {
            return;
        }
        mConditions.merge(conditions);
        List<T> known = mConditions.registered();
        if (digest != mConditions.digest() && !known.isEmpty()) {
            mSender.send(address, known);
        }
    }
}
