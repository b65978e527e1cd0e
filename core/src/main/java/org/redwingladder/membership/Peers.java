package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Remembers what other processes of the zone have said. Times are monotonic milliseconds. */
final class Peers {
    static final long NEVER = Long.MIN_VALUE;

    // Bounds the table against senders that are no members; a zone has about 100 hosts.
    private static final int MAX_PEERS = 1024;

    private final Map<MemberId, Peer> mPeers = new HashMap<>();
    private final Map<MemberId, Long> mGoneAt = new HashMap<>();

    private static final class Peer {
        private long mHeardAt = NEVER;
        private long mConfirmedAt = NEVER;
        private long mAnsweredAt = NEVER;
        private long mIntervalMillis;
        private long mEpoch;
        private long mEpochAt = NEVER;
        private long mSettledEpoch;
        private @Nullable Wanted mWanted;
        private long mWantedEpoch;
        private @Nullable Member mMember;

        private void learned(long epoch, long settledEpoch, long now) {
            if (epoch > mEpoch) {
                mEpoch = epoch;
                mEpochAt = now;
            }
            mSettledEpoch = Math.max(mSettledEpoch, settledEpoch);
        }
    }

    /** Records a heartbeat that was received. */
    void heard(Heartbeat heartbeat, long now) {
        Peer peer = peer(heartbeat.sender());
        if (peer == null) {
            return;
        }
        peer.mHeardAt = now;
        if (heartbeat.confirmed()) {
            peer.mConfirmedAt = now;
        }
        peer.mIntervalMillis = heartbeat.intervalMillis();
        peer.mMember = heartbeat.asMember();
        peer.mWanted = heartbeat.wanted();
        peer.mWantedEpoch = heartbeat.epoch();
        peer.learned(heartbeat.epoch(), heartbeat.settledEpoch(), now);
    }

    /** Records that {@code id} answered and has adopted {@code epoch}. */
    void answered(MemberId id, long epoch, long settledEpoch, long now) {
        Peer peer = peer(id);
        if (peer != null) {
            peer.mAnsweredAt = now;
            peer.learned(epoch, settledEpoch, now);
        }
    }

    /** Records that the process {@code id} has certainly ended. */
    void gone(MemberId id, long now) {
        mGoneAt.putIfAbsent(id, now);
    }

    boolean isGone(MemberId id) {
        return mGoneAt.containsKey(id);
    }

    /**
     * Returns since when {@code id} is known never to act under or acknowledge an epoch before
     * {@code epoch}, or {@code NEVER}.
     */
    long learnedAt(MemberId id, long epoch) {
        Long goneAt = mGoneAt.get(id);
        Peer peer = mPeers.get(id);
        long learnedAt = peer != null && peer.mEpoch >= epoch ? peer.mEpochAt : NEVER;
        if (goneAt == null) {
            return learnedAt;
        }
        return learnedAt == NEVER ? goneAt : Math.min(goneAt, learnedAt);
    }

    /** Returns whether {@code id} is known to have adopted the epoch of {@code roster}. */
    boolean hasEpoch(MemberId id, Roster roster) {
        Peer peer = mPeers.get(id);
        return peer != null && peer.mEpoch >= roster.epoch();
    }

    /**
     * Returns whether {@code id} is known to have {@code roster}, and that it is settled if it is.
     */
    boolean has(MemberId id, Roster roster) {
        Peer peer = mPeers.get(id);
        return peer != null
                && (peer.mEpoch > roster.epoch()
                        || (peer.mEpoch == roster.epoch()
                                && peer.mSettledEpoch >= roster.settledEpoch()));
    }

    long heardAt(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? NEVER : peer.mHeardAt;
    }

    long confirmedAt(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? NEVER : peer.mConfirmedAt;
    }

    long answeredAt(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? NEVER : peer.mAnsweredAt;
    }

    long contactAt(MemberId id) {
        return Math.max(heardAt(id), answeredAt(id));
    }

    /** Returns the interval that {@code id} said it keeps, 0 if it was never heard. */
    long intervalOf(MemberId id) {
        Peer peer = mPeers.get(id);
        return peer == null ? 0 : peer.mIntervalMillis;
    }

    /**
     * Returns what {@code id} asks for in {@code epoch}. What it said in another epoch does not
     * count, so that a late heartbeat cannot undo a change that was made since.
     */
    @Nullable Wanted wantedBy(MemberId id, long epoch) {
        Peer peer = mPeers.get(id);
        return peer == null || peer.mWantedEpoch != epoch ? null : peer.mWanted;
    }

    /** Returns the processes heard since {@code since} that ask in {@code epoch} to serve. */
    List<Member> askingToServe(long epoch, long since) {
        List<Member> asking = new ArrayList<>();
        for (Peer peer : mPeers.values()) {
            if (peer.mMember != null
                    && peer.mHeardAt >= since
                    && peer.mWantedEpoch == epoch
                    && peer.mWanted == Wanted.SERVING) {
                asking.add(peer.mMember);
            }
        }
        asking.sort((a, b) -> a.host().compareTo(b.host()));
        return asking;
    }

    /** Forgets the processes that are not kept and were not in contact since {@code since}. */
    void prune(Predicate<MemberId> kept, long since) {
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                !kept.test(entry.getKey())
                                        && Math.max(
                                                        entry.getValue().mHeardAt,
                                                        entry.getValue().mAnsweredAt)
                                                < since);
        mGoneAt.keySet().removeIf(id -> !kept.test(id));
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
