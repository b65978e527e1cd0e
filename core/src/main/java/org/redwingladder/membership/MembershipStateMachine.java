package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The membership protocol of one process: it maintains the zone's roster by compare-and-set,
 * replicates it by heartbeats, detects failed members, and acquires and releases sites.
 *
 * <p>The machine is deterministic: it has no sockets, clock or threads, and maps each event to the
 * effects that its driver executes. Not thread-safe.
 */
public final class MembershipStateMachine {
    private final Member mSelf;
    private final String mZone;
    private final HeartbeatSchedule mSchedule;
    private final PeerTable mPeers = new PeerTable();
    private final SiteHandover mHandover;
    private final RosterRowScheduler mRowScheduler;
    private final RejoinBackoff mRejoinBackoff = new RejoinBackoff();
    private RequestedState mRequested = RequestedState.SERVING;
    private @Nullable Roster mRoster;
    private @Nullable QuorumLease mLease;
    private @Nullable MemberId mSupersededBy;
    private Set<String> mHostsLeaving = Set.of();
    private long mSettingsVersion;
    private long mHighestEpoch;
    private long mAdoptedAt;
    private long mDetectingSince = Long.MAX_VALUE;
    private long mNextHeartbeatAt = Long.MIN_VALUE;
    private long mNextRosterPullAt = Long.MIN_VALUE;
    private long mLastEventAt = Long.MIN_VALUE;
    private boolean mEverRequestedMembership;
    private boolean mDeregistered;

    // The rate limit of requests for a later roster that this process has learned of.
    private static final long MIN_ROSTER_PULL_INTERVAL_MILLIS = 200;

    private MembershipStateMachine(Member self, String zone, HeartbeatSchedule schedule) {
        mSelf = self;
        mZone = zone;
        mSchedule = schedule;
        mHandover = new SiteHandover(self.id());
        mRowScheduler = new RosterRowScheduler(schedule);
    }

    /** Returns a state machine for the process {@code self}, which is not a member yet. */
    public static MembershipStateMachine create(
            Member self, String zone, HeartbeatSchedule schedule) {
        return new MembershipStateMachine(self, zone, schedule);
    }

    /**
     * Handles an event.
     *
     * @param now the monotonic clock in milliseconds
     * @return the effects to execute, in this order
     */
    public List<MembershipEffect> handle(MembershipEvent event, long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        switch (event) {
            case MembershipEvent.Tick tick -> evictStalePeers(now);
            case MembershipEvent.HeartbeatReceived in -> onHeartbeat(in.heartbeat(), now, effects);
            case MembershipEvent.HeartbeatAnswered in ->
                    onHeartbeatAnswer(in.sent(), in.answer(), now, effects);
            case MembershipEvent.RowRead in -> onRowRead(in.row(), now, effects);
            case MembershipEvent.ReadFailed in -> mRowScheduler.readFailed(now);
            case MembershipEvent.WriteSucceeded in -> onRowWritten(in.row(), now, effects);
            case MembershipEvent.WriteConflict in -> {
                mRowScheduler.writeEnded();
                onRowRead(in.row(), now, effects);
            }
            case MembershipEvent.WriteOutcomeUnknown in -> mRowScheduler.writeOutcomeUnknown(now);
            case MembershipEvent.ReleaseReceived in -> onRelease(in.release(), now, effects);
            case MembershipEvent.ReleaseAnswered in -> onReleaseAnswered(in);
            case MembershipEvent.SettingsChanged in -> onSettingsChanged(in, effects);
            case MembershipEvent.HostsLeaving in -> mHostsLeaving = in.hosts();
            case MembershipEvent.Drain in -> requestState(RequestedState.LEAVING, now);
            case MembershipEvent.Deregister in -> requestState(RequestedState.GONE, now);
            case MembershipEvent.DeclaredDead in -> onDeclaredDead(in.process(), now);
        }
        progress(now, effects);
        return effects;
    }

    /** Returns the state that request handling uses. */
    public MembershipView view() {
        long until = mLease == null || !isMember() ? Long.MIN_VALUE : mLease.expiresAt();
        return new MembershipView(mRoster, isMember(), mHandover.activeServices(), until);
    }

    private void progress(long now, List<MembershipEffect> effects) {
        Roster roster = mRoster;
        if (mDeregistered || mSupersededBy != null) {
            return;
        }
        if (roster == null) {
            deregisterIfPossible(now, effects);
            mRowScheduler.readIfDue(now, mSchedule.minOwnerIntervalMillis(), effects);
            return;
        }
        if (isMember()) {
            mHandover.startReadySites(
                    roster,
                    id -> mPeers.hasAdopted(id, roster) && !mPeers.isTerminated(id),
                    now,
                    effects);
        }
        mHandover.sendReleases(roster, now, effects);
        if (now >= mNextHeartbeatAt) {
            sendHeartbeats(roster, now, effects);
        }
        updateFailureDetection(roster, now);
        boolean mayRequest = mayRequestMembership(roster, now);
        mEverRequestedMembership |= mayRequest;
        mRowScheduler.progress(policy(roster, now), localState(now, mayRequest), effects);
        deregisterIfPossible(now, effects);
    }

    private ReconfigurationPolicy policy(Roster roster, long now) {
        return new ReconfigurationPolicy(
                mSelf, mRequested, roster, mPeers, mSchedule, now, mAdoptedAt, mDetectingSince);
    }

    private RosterRowScheduler.LocalState localState(long now, boolean mayRequest) {
        return new RosterRowScheduler.LocalState(
                holdsLease(now), mayRequest, mHandover.services(), mSettingsVersion, mHostsLeaving);
    }

    private void onRowRead(
            @Nullable VersionedRoster row, long now, List<MembershipEffect> effects) {
        mRowScheduler.observeRow(row);
        if (row != null) {
            adopt(row.roster(), now, effects);
        } else if (mRoster == null
                && mRequested == RequestedState.SERVING
                && mSupersededBy == null) {
            mEverRequestedMembership = true;
            Set<String> services = mHandover.services();
            long interval =
                    mSchedule.ownerIntervalMillis(
                            Ownership.countOwnersAndVoters(List.of(mSelf), services));
            mRowScheduler.write(
                    0, Roster.initial(mZone, mSelf, mSettingsVersion, interval), now, effects);
        }
    }

    private void onRowWritten(VersionedRoster row, long now, List<MembershipEffect> effects) {
        mRowScheduler.writeEnded();
        mRowScheduler.observeRow(row);
        adopt(row.roster(), now, effects);
    }

    private void adopt(Roster roster, long now, List<MembershipEffect> effects) {
        Roster before = mRoster;
        if (!roster.zone().equals(mZone) || !roster.isNewerThan(before)) {
            return;
        }
        boolean wasMember = isMember();
        mRoster = roster;
        mHighestEpoch = Math.max(mHighestEpoch, roster.epoch());
        mHandover.adopt(before, roster, now, effects);
        if (before == null || before.epoch() != roster.epoch()) {
            mLease = QuorumLease.of(roster);
            mAdoptedAt = now;
            mNextHeartbeatAt = now;
        } else if (mRowScheduler.wroteEpochOf(roster)) {
            mNextHeartbeatAt = now;
        }
        effects.add(new MembershipEffect.RosterAdopted(roster));
        checkSuperseded(roster, effects);
        if (wasMember && !isMember()) {
            mHandover.stopAll(effects);
            mRejoinBackoff.recordRemoval(now);
        }
    }

    private void checkSuperseded(Roster roster, List<MembershipEffect> effects) {
        Member listed = roster.memberOnHost(mSelf.host());
        if (listed == null || mSupersededBy != null) {
            return;
        }
        boolean usedByEarlierProcess = listed.id().equals(mSelf.id()) && !mEverRequestedMembership;
        if (listed.incarnation() > mSelf.incarnation() || usedByEarlierProcess) {
            mSupersededBy = listed.id();
            mRequested = RequestedState.GONE;
            mHandover.stopAll(effects);
            effects.add(new MembershipEffect.Superseded(listed.id()));
        }
    }

    private void onHeartbeat(Heartbeat heartbeat, long now, List<MembershipEffect> effects) {
        if (heartbeat.zone().equals(mZone)) {
            if (heartbeat.roster() != null) {
                adopt(heartbeat.roster(), now, effects);
            }
            mHighestEpoch = Math.max(mHighestEpoch, heartbeat.epoch());
            mPeers.recordHeartbeat(heartbeat, now);
        }
        Roster roster = mRoster;
        long epoch = roster == null ? 0 : roster.epoch();
        boolean accepted =
                roster != null
                        && heartbeat.zone().equals(mZone)
                        && mSupersededBy == null
                        && heartbeat.epoch() == epoch
                        && mHighestEpoch == epoch
                        && roster.isVoter(mSelf.id())
                        && roster.member(heartbeat.sender()) != null;
        long settled = roster == null ? 0 : roster.settledEpoch();
        boolean senderLacksRoster = heartbeat.epoch() < epoch || heartbeat.settledEpoch() < settled;
        effects.add(
                new MembershipEffect.AnswerHeartbeat(
                        new HeartbeatAnswer(
                                mSelf.host(),
                                mSelf.incarnation(),
                                epoch,
                                settled,
                                accepted,
                                mSettingsVersion,
                                senderLacksRoster ? roster : null)));
        if (heartbeat.epoch() > epoch && now >= mNextRosterPullAt && mSupersededBy == null) {
            mNextRosterPullAt = now + MIN_ROSTER_PULL_INTERVAL_MILLIS;
            send(heartbeat.asMember(), now, effects);
        }
    }

    private void onHeartbeatAnswer(
            MembershipEffect.SendHeartbeat sent,
            HeartbeatAnswer answer,
            long now,
            List<MembershipEffect> effects) {
        if (answer.sender().replaces(sent.to().id())) {
            // A later process of the host answers at the address, so the listed one has terminated.
            mPeers.markTerminated(sent.to().id(), now);
        }
        mPeers.recordAnswer(answer.sender(), answer.epoch(), answer.settledEpoch(), now);
        mHighestEpoch = Math.max(mHighestEpoch, answer.epoch());
        if (answer.roster() != null) {
            adopt(answer.roster(), now, effects);
        }
        QuorumLease lease = mLease;
        if (lease != null && answer.accepted() && answer.epoch() == sent.heartbeat().epoch()) {
            lease.recordAcknowledgement(answer.sender(), answer.epoch(), sent.sentAt());
        }
    }

    private void onRelease(SiteRelease release, long now, List<MembershipEffect> effects) {
        boolean accepted = false;
        if (release.zone().equals(mZone)) {
            if (release.roster() != null) {
                adopt(release.roster(), now, effects);
            }
            mHighestEpoch = Math.max(mHighestEpoch, release.epoch());
            mPeers.recordAnswer(release.sender(), release.epoch(), 0, now);
            accepted = mHandover.receiveRelease(release, mRoster, effects);
        }
        effects.add(new MembershipEffect.AnswerRelease(accepted));
    }

    private void onReleaseAnswered(MembershipEvent.ReleaseAnswered answered) {
        if (answered.accepted() && mRoster != null) {
            mHandover.recordReleaseAccepted(answered.sent().release(), mRoster.epoch());
        }
    }

    private void onSettingsChanged(
            MembershipEvent.SettingsChanged changed, List<MembershipEffect> effects) {
        mSettingsVersion = Math.max(mSettingsVersion, changed.version());
        mHandover.updateServices(
                changed.version(), changed.services(), isMember() ? mRoster : null, effects);
    }

    private void requestState(RequestedState state, long now) {
        if (state.compareTo(mRequested) > 0) {
            mRequested = state;
            mNextHeartbeatAt = now;
        }
    }

    private void onDeclaredDead(MemberId process, long now) {
        Roster roster = mRoster;
        if (roster == null || process.equals(mSelf.id())) {
            return;
        }
        List<Member> listed = new ArrayList<>(roster.members());
        listed.addAll(roster.previous());
        for (Member member : listed) {
            if (member.id().equals(process) || process.replaces(member.id())) {
                mPeers.markTerminated(member.id(), now);
                mRowScheduler.skipRankDelay();
            }
        }
    }

    private void sendHeartbeats(Roster roster, long now, List<MembershipEffect> effects) {
        ReconfigurationPolicy policy = policy(roster, now);
        mNextHeartbeatAt = now + policy.ownIntervalMillis(mHandover.services());
        if (mHighestEpoch == roster.epoch() && mLease != null) {
            mLease.recordAcknowledgement(mSelf.id(), roster.epoch(), now);
        }
        for (Member target : policy.heartbeatTargets(mRowScheduler.wroteEpochOf(roster))) {
            send(target, now, effects);
        }
    }

    private void send(Member target, long now, List<MembershipEffect> effects) {
        Roster roster = mRoster;
        long epoch = roster == null ? 0 : roster.epoch();
        boolean mayRequest = roster != null && mayRequestMembership(roster, now);
        mEverRequestedMembership |= mayRequest && mRequested == RequestedState.SERVING;
        Heartbeat heartbeat =
                new Heartbeat(
                        mSelf.host(),
                        mSelf.incarnation(),
                        mZone,
                        epoch,
                        roster == null ? 0 : roster.settledEpoch(),
                        mSettingsVersion,
                        0,
                        mSelf.peerAddress(),
                        mSelf.clientAddress(),
                        mayRequest ? mRequested : RequestedState.GONE,
                        holdsLease(now),
                        roster == null
                                ? mSchedule.minOwnerIntervalMillis()
                                : policy(roster, now).ownIntervalMillis(mHandover.services()),
                        roster == null || mPeers.isUpToDate(target.id(), roster) ? null : roster);
        effects.add(new MembershipEffect.SendHeartbeat(target, heartbeat, now));
    }

    private boolean mayRequestMembership(Roster roster, long now) {
        return isMember() || mRejoinBackoff.mayJoin(roster, mPeers, now);
    }

    // Failure detection is active only while this voter is in uninterrupted contact with a quorum:
    // a process that was paused or partitioned has received nothing and must not suspect others. A
    // valid lease is not enough, since a lease outlasts the suspicion time-out.
    private void updateFailureDetection(Roster roster, long now) {
        long interval = roster.heartbeatMillis();
        long minRemaining = HeartbeatSchedule.leaseMillis(interval) - 5 * interval / 2;
        boolean inContact =
                holdsLease(now)
                        && roster.isVoter(mSelf.id())
                        && mLease != null
                        && mLease.expiresAt() - now >= minRemaining;
        if (!inContact) {
            mDetectingSince = Long.MAX_VALUE;
        } else if (mDetectingSince == Long.MAX_VALUE || now - mLastEventAt > interval) {
            mDetectingSince = now;
        }
        mLastEventAt = now;
    }

    private void deregisterIfPossible(long now, List<MembershipEffect> effects) {
        if (mRequested != RequestedState.GONE
                || mDeregistered
                || isMember()
                || mRowScheduler.isWriting()) {
            return;
        }
        Roster roster = mRoster;
        boolean departureReplicated = roster == null || roster.settled();
        if (roster != null) {
            for (Member voter : roster.voters()) {
                departureReplicated |=
                        mPeers.lastAnswerAt(voter.id()) >= mAdoptedAt
                                && mPeers.hasAdopted(voter.id(), roster);
            }
        }
        if (departureReplicated) {
            mDeregistered = true;
            mHandover.stopAll(effects);
            effects.add(new MembershipEffect.Deregistered());
        }
    }

    private void evictStalePeers(long now) {
        Roster roster = mRoster;
        if (roster != null) {
            mPeers.prune(
                    id -> roster.member(id) != null || Roster.find(roster.previous(), id) != null,
                    now - 10 * mSchedule.memberIntervalMillis(roster.members().size()));
        }
    }

    private boolean isMember() {
        return mRoster != null && mSupersededBy == null && mRoster.member(mSelf.id()) != null;
    }

    private boolean holdsLease(long now) {
        return isMember() && mLease != null && mLease.isValidAt(now);
    }
}
