package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The last known state of the other processes of the zone, from their heartbeats and answers. Times
 * are in milliseconds on this process's monotonic clock.
 */
final class PeerTable {
    static final long NEVER = Long.MIN_VALUE;

    // Bounds the memory that senders outside the roster can take; a zone has about 100 hosts.
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

    /** Records a received heartbeat. */
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

    /** Records that {@code id} answered a message and has adopted {@code epoch}. */
    void recordAnswer(MemberId id, long epoch, long settledEpoch, long now) {
        Peer peer = peer(id);
        if (peer != null) {
            peer.mLastAnswerAt = now;
            peer.advanceEpoch(epoch, settledEpoch, now);
        }
    }

    /** Records that the process {@code id} is known to have terminated. */
    void markTerminated(MemberId id, long now) {
        mTerminatedAt.putIfAbsent(id, now);
    }

    boolean isTerminated(MemberId id) {
        return mTerminatedAt.containsKey(id);
    }

    /**
     * Returns since when {@code id} is known not to act under or acknowledge any epoch before
     * {@code epoch}, because it adopted a later one or terminated; {@code NEVER} if that is not
     * known.
     */
    long leftEarlierEpochsAt(MemberId id, long epoch) {
        Long terminatedAt = mTerminatedAt.get(id);
        Peer peer = mPeers.get(id);
        long leftEarlierEpochsAt =
                peer != null && peer.mEpoch >= epoch ? peer.mAdoptedEpochAt : NEVER;
        if (terminatedAt == null) {
            return leftEarlierEpochsAt;
        }
        return leftEarlierEpochsAt == NEVER
                ? terminatedAt
                : Math.min(terminatedAt, leftEarlierEpochsAt);
    }

    /** Returns whether {@code id} is known to have adopted the epoch of {@code roster}. */
    boolean hasAdopted(MemberId id, Roster roster) {
        Peer peer = mPeers.get(id);
        return peer != null && peer.mEpoch >= roster.epoch();
    }

    /**
     * Returns whether {@code id} is known to have {@code roster} with at least the same settled
     * epoch, or a later roster.
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

    /** Returns the heartbeat interval that {@code id} reported, 0 if it sent no heartbeat yet. */
    long reportedIntervalMillis(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? 0 : peer.mIntervalMillis;
    }

    /**
     * Returns the state that {@code id} requested in {@code epoch}. Requests of other epochs are
     * ignored, so that a delayed heartbeat cannot undo a later change.
     */
    @Nullable RequestedState requestedStateOf(MemberId id, long epoch) {
        Peer peer = mPeers.get(id);
        return peer == null || peer.mRequestedInEpoch != epoch ? null : peer.mRequestedState;
    }

    /**
     * Returns the processes that requested in {@code epoch} to serve and sent a heartbeat since
     * {@code since}, ordered by host.
     */
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

    /**
     * Evicts the processes that {@code kept} rejects and that were not in contact since {@code
     * since}.
     */
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
