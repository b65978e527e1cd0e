package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Remembers what other processes of the zone have said. Times are monotonic milliseconds. */
final class PeerTable {
    static final long NEVER = Long.MIN_VALUE;

    // Bounds the table against senders that are no members; a zone has about 100 hosts.
    private static final int MAX_PEERS = 1024;

    private final Map<MemberId, Peer> mPeers = new HashMap<>();
    private final Map<MemberId, Long> mTerminatedAt = new HashMap<>();

    private static final class Peer {
        private long mLastHeartbeatAt = NEVER;
        private long mLastLeaseReportAt = NEVER;
        private long mLastAnswerAt = NEVER;
        private long mIntervalMillis;
        private long mEpoch;
        private long mAdoptedEpochAt = NEVER;
        private long mSettledEpoch;
        private @Nullable RequestedState mRequestedState;
        private long mRequestedInEpoch;
        private @Nullable Member mMember;

        private void advanceEpoch(long epoch, long settledEpoch, long now) {
            if (epoch > mEpoch) {
                mEpoch = epoch;
                mAdoptedEpochAt = now;
            }
            mSettledEpoch = Math.max(mSettledEpoch, settledEpoch);
        }
    }

    /** Records a heartbeat that was received. */
    void recordHeartbeat(Heartbeat heartbeat, long now) {
        Peer peer = peer(heartbeat.sender());
        if (peer == null) {
            return;
        }
        peer.mLastHeartbeatAt = now;
        if (heartbeat.confirmed()) {
            peer.mLastLeaseReportAt = now;
        }
        peer.mIntervalMillis = heartbeat.intervalMillis();
        peer.mMember = heartbeat.asMember();
        peer.mRequestedState = heartbeat.wanted();
        peer.mRequestedInEpoch = heartbeat.epoch();
        peer.advanceEpoch(heartbeat.epoch(), heartbeat.settledEpoch(), now);
    }

    /** Records that {@code id} answered and has adopted {@code epoch}. */
    void recordAnswer(MemberId id, long epoch, long settledEpoch, long now) {
        Peer peer = peer(id);
        if (peer != null) {
            peer.mLastAnswerAt = now;
            peer.advanceEpoch(epoch, settledEpoch, now);
        }
    }

    /** Records that the process {@code id} has certainly ended. */
    void markTerminated(MemberId id, long now) {
        mTerminatedAt.putIfAbsent(id, now);
    }

    boolean isTerminated(MemberId id) {
        return mTerminatedAt.containsKey(id);
    }

    /**
     * Returns since when {@code id} is known never to act under or acknowledge an epoch before
     * {@code epoch}, or {@code NEVER}.
     */
    long leftEarlierEpochsAt(MemberId id, long epoch) {
        Long terminatedAt = mTerminatedAt.get(id);
        Peer peer = mPeers.get(id);
        long leftEarlierEpochsAt = peer != null && peer.mEpoch >= epoch ? peer.mAdoptedEpochAt : NEVER;
        if (terminatedAt == null) {
            return leftEarlierEpochsAt;
        }
        return leftEarlierEpochsAt == NEVER ? terminatedAt : Math.min(terminatedAt, leftEarlierEpochsAt);
    }

    /** Returns whether {@code id} is known to have adopted the epoch of {@code roster}. */
    boolean hasAdopted(MemberId id, Roster roster) {
        Peer peer = mPeers.get(id);
        return peer != null && peer.mEpoch >= roster.epoch();
    }

    /**
     * Returns whether {@code id} is known to have {@code roster}, and that it is settled if it is.
     */
    boolean isUpToDate(MemberId id, Roster roster) {
        Peer peer = mPeers.get(id);
        return peer != null
                && (peer.mEpoch > roster.epoch()
                        || (peer.mEpoch == roster.epoch()
                                && peer.mSettledEpoch >= roster.settledEpoch()));
    }

    long lastHeartbeatAt(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? NEVER : peer.mLastHeartbeatAt;
    }

    long lastLeaseReportAt(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? NEVER : peer.mLastLeaseReportAt;
    }

    long lastAnswerAt(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? NEVER : peer.mLastAnswerAt;
    }

    long lastContactAt(MemberId id) {
        return Math.max(lastHeartbeatAt(id), lastAnswerAt(id));
    }

    /** Returns the interval that {@code id} said it keeps, 0 if it was never heard. */
    long reportedIntervalMillis(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? 0 : peer.mIntervalMillis;
    }

    /**
     * Returns what {@code id} asks for in {@code epoch}. What it said in another epoch does not
     * count, so that a late heartbeat cannot undo a change that was made since.
     */
    @Nullable RequestedState requestedStateOf(MemberId id, long epoch) {
        Peer peer = mPeers.get(id);
        return peer == null || peer.mRequestedInEpoch != epoch ? null : peer.mRequestedState;
    }

    /** Returns the processes heard since {@code since} that ask in {@code epoch} to serve. */
    List<Member> joinCandidates(long epoch, long since) {
        List<Member> candidates = new ArrayList<>();
        for (Peer peer : mPeers.values()) {
            if (peer.mMember != null
                    && peer.mLastHeartbeatAt >= since
                    && peer.mRequestedInEpoch == epoch
                    && peer.mRequestedState == RequestedState.SERVING) {
                candidates.add(peer.mMember);
            }
        }
        candidates.sort((a, b) -> a.host().compareTo(b.host()));
        return candidates;
    }

    /** Forgets the processes that are not kept and were not in contact since {@code since}. */
    void prune(Predicate<MemberId> kept, long since) {
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                !kept.test(entry.getKey())
                                        && Math.max(
                                                        entry.getValue().mLastHeartbeatAt,
                                                        entry.getValue().mLastAnswerAt)
                                                < since);
        mTerminatedAt.keySet().removeIf(id -> !kept.test(id));
    }

    private @Nullable Peer peer(MemberId id) {
        Peer peer = mPeers.get(id);
        if (peer == null && mPeers.size() < MAX_PEERS) {
            peer = new Peer();
            mPeers.put(id, peer);
        }
        return peer;
    }
}
