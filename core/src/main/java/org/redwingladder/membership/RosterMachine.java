package org.redwingladder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides for one process how its zone's roster changes, which sites it owns and until when it may
 * act as their owner. It has no sockets, clock or threads of its own and is used by one thread at a
 * time.
 */
public final class RosterMachine {
    private final Member mSelf;
    private final String mZone;
    private final HeartbeatSchedule mSchedule;
    private final Peers mPeers = new Peers();
    private final Sites mSites;
    private final RosterStore mStore;
    private final Rejoin mRejoin = new Rejoin();
    private Wanted mWanted = Wanted.SERVING;
    private @Nullable Roster mRoster;
    private @Nullable Confirmation mConfirmation;
    private @Nullable MemberId mSupersededBy;
    private Set<String> mHostsLeaving = Set.of();
    private long mSettingsVersion;
    private long mHighestEpoch;
    private long mAdoptedAt;
    private long mWatchingSince = Long.MAX_VALUE;
    private long mNextHeartbeatAt = Long.MIN_VALUE;
    private long mNextPullAt = Long.MIN_VALUE;
    private long mLastInputAt = Long.MIN_VALUE;
    private boolean mAsked;
    private boolean mLeft;

    // Limits how often a process asks for a roster that it learned exists.
    private static final long PULL_MILLIS = 200;

    private RosterMachine(Member self, String zone, HeartbeatSchedule schedule) {
        mSelf = self;
        mZone = zone;
        mSchedule = schedule;
        mSites = new Sites(self.id());
        mStore = new RosterStore(schedule);
    }

    /** Returns a machine for the process {@code self}, which is not a member yet. */
    public static RosterMachine create(Member self, String zone, HeartbeatSchedule schedule) {
        return new RosterMachine(self, zone, schedule);
    }

    /**
     * Takes in what happened.
     *
     * @param now the monotonic clock in milliseconds
     * @return what to do, in this order
     */
    public List<RosterEffect> handle(RosterInput input, long now) {
        List<RosterEffect> effects = new ArrayList<>();
        switch (input) {
            case RosterInput.Tick tick -> forgetOldPeers(now);
            case RosterInput.HeartbeatReceived in -> heartbeat(in.heartbeat(), now, effects);
            case RosterInput.HeartbeatAnswered in -> answer(in.sent(), in.answer(), now, effects);
            case RosterInput.RowRead in -> rowRead(in.row(), now, effects);
            case RosterInput.ReadFailed in -> mStore.readFailed(now);
            case RosterInput.WriteDone in -> rowWritten(in.row(), now, effects);
            case RosterInput.WriteConflict in -> {
                mStore.writeEnded();
                rowRead(in.row(), now, effects);
            }
            case RosterInput.WriteLost in -> mStore.writeLost(now);
            case RosterInput.ReleaseReceived in -> release(in.release(), now, effects);
            case RosterInput.ReleaseAnswered in -> releaseAnswered(in);
            case RosterInput.SettingsChanged in -> settings(in, effects);
            case RosterInput.HostsLeaving in -> mHostsLeaving = in.hosts();
            case RosterInput.Leave in -> want(Wanted.LEAVING, now);
            case RosterInput.Depart in -> want(Wanted.GONE, now);
            case RosterInput.DeclaredDead in -> declaredDead(in.process(), now);
        }
        progress(now, effects);
        return effects;
    }

    /** Returns the state that request handling needs. */
    public RosterView view() {
        long until =
                mConfirmation == null || !isListed()
                        ? Long.MIN_VALUE
                        : mConfirmation.confirmedUntil();
        return new RosterView(mRoster, isListed(), mSites.started(), until);
    }

    private void progress(long now, List<RosterEffect> effects) {
        Roster roster = mRoster;
        if (mLeft || mSupersededBy != null) {
            return;
        }
        if (roster == null) {
            leaveIfDone(now, effects);
            mStore.readIfDue(now, mSchedule.ownerFloorMillis(), effects);
            return;
        }
        if (isListed()) {
            mSites.startAllowed(
                    roster, id -> mPeers.hasEpoch(id, roster) && !mPeers.isGone(id), now, effects);
        }
        mSites.sendReleases(roster, now, effects);
        if (now >= mNextHeartbeatAt) {
            sendHeartbeats(roster, now, effects);
        }
        watch(roster, now);
        boolean asking = isAsking(roster, now);
        mAsked |= asking;
        mStore.progress(plan(roster, now), situation(now, asking), effects);
        leaveIfDone(now, effects);
    }

    private RosterPlan plan(Roster roster, long now) {
        return new RosterPlan(
                mSelf, mWanted, roster, mPeers, mSchedule, now, mAdoptedAt, mWatchingSince);
    }

    private RosterStore.Situation situation(long now, boolean asking) {
        return new RosterStore.Situation(
                confirmed(now), asking, mSites.services(), mSettingsVersion, mHostsLeaving);
    }

    private void rowRead(@Nullable RosterRow row, long now, List<RosterEffect> effects) {
        mStore.rowKnown(row);
        if (row != null) {
            adopt(row.roster(), now, effects);
        } else if (mRoster == null && mWanted == Wanted.SERVING && mSupersededBy == null) {
            mAsked = true;
            Set<String> services = mSites.services();
            long interval =
                    mSchedule.ownerInterval(Ownership.ownersAndVoters(List.of(mSelf), services));
            mStore.write(0, Roster.first(mZone, mSelf, mSettingsVersion, interval), now, effects);
        }
    }

    private void rowWritten(RosterRow row, long now, List<RosterEffect> effects) {
        mStore.writeEnded();
        mStore.rowKnown(row);
        adopt(row.roster(), now, effects);
    }

    private void adopt(Roster roster, long now, List<RosterEffect> effects) {
        Roster before = mRoster;
        if (!roster.zone().equals(mZone) || !roster.newerThan(before)) {
            return;
        }
        boolean wasListed = isListed();
        mRoster = roster;
        mHighestEpoch = Math.max(mHighestEpoch, roster.epoch());
        mSites.adopt(before, roster, now, effects);
        if (before == null || before.epoch() != roster.epoch()) {
            mConfirmation = Confirmation.of(roster);
            mAdoptedAt = now;
            mNextHeartbeatAt = now;
        } else if (mStore.wrote(roster)) {
            mNextHeartbeatAt = now;
        }
        effects.add(new RosterEffect.RosterAdopted(roster));
        checkOwnProcess(roster, effects);
        if (wasListed && !isListed()) {
            mSites.stopAll(effects);
            mRejoin.dropped(now);
        }
    }

    private void checkOwnProcess(Roster roster, List<RosterEffect> effects) {
        Member listed = roster.memberOf(mSelf.host());
        if (listed == null || mSupersededBy != null) {
            return;
        }
        boolean usedBefore = listed.id().equals(mSelf.id()) && !mAsked;
        if (listed.incarnation() > mSelf.incarnation() || usedBefore) {
            mSupersededBy = listed.id();
            mWanted = Wanted.GONE;
            mSites.stopAll(effects);
            effects.add(new RosterEffect.Superseded(listed.id()));
        }
    }

    private void heartbeat(Heartbeat heartbeat, long now, List<RosterEffect> effects) {
        if (heartbeat.zone().equals(mZone)) {
            if (heartbeat.roster() != null) {
                adopt(heartbeat.roster(), now, effects);
            }
            mHighestEpoch = Math.max(mHighestEpoch, heartbeat.epoch());
            mPeers.heard(heartbeat, now);
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
        boolean lacks = heartbeat.epoch() < epoch || heartbeat.settledEpoch() < settled;
        effects.add(
                new RosterEffect.AnswerHeartbeat(
                        new HeartbeatAnswer(
                                mSelf.host(),
                                mSelf.incarnation(),
                                epoch,
                                settled,
                                accepted,
                                mSettingsVersion,
                                lacks ? roster : null)));
        if (heartbeat.epoch() > epoch && now >= mNextPullAt && mSupersededBy == null) {
            mNextPullAt = now + PULL_MILLIS;
            send(heartbeat.asMember(), now, effects);
        }
    }

    private void answer(
            RosterEffect.SendHeartbeat sent,
            HeartbeatAnswer answer,
            long now,
            List<RosterEffect> effects) {
        if (answer.sender().replaces(sent.to().id())) {
            // The address has a new process, so the one listed for it has ended.
            mPeers.gone(sent.to().id(), now);
        }
        mPeers.answered(answer.sender(), answer.epoch(), answer.settledEpoch(), now);
        mHighestEpoch = Math.max(mHighestEpoch, answer.epoch());
        if (answer.roster() != null) {
            adopt(answer.roster(), now, effects);
        }
        Confirmation confirmation = mConfirmation;
        if (confirmation != null
                && answer.accepted()
                && answer.epoch() == sent.heartbeat().epoch()) {
            confirmation.acknowledged(answer.sender(), answer.epoch(), sent.sentAt());
        }
    }

    private void release(Release release, long now, List<RosterEffect> effects) {
        boolean accepted = false;
        if (release.zone().equals(mZone)) {
            if (release.roster() != null) {
                adopt(release.roster(), now, effects);
            }
            mHighestEpoch = Math.max(mHighestEpoch, release.epoch());
            mPeers.answered(release.sender(), release.epoch(), 0, now);
            accepted = mSites.released(release, mRoster, effects);
        }
        effects.add(new RosterEffect.AnswerRelease(accepted));
    }

    private void releaseAnswered(RosterInput.ReleaseAnswered answered) {
        if (answered.accepted() && mRoster != null) {
            mSites.releaseAccepted(answered.sent().release(), mRoster.epoch());
        }
    }

    private void settings(RosterInput.SettingsChanged changed, List<RosterEffect> effects) {
        mSettingsVersion = Math.max(mSettingsVersion, changed.version());
        mSites.services(
                changed.version(), changed.services(), isListed() ? mRoster : null, effects);
    }

    private void want(Wanted wanted, long now) {
        if (wanted.compareTo(mWanted) > 0) {
            mWanted = wanted;
            mNextHeartbeatAt = now;
        }
    }

    private void declaredDead(MemberId process, long now) {
        Roster roster = mRoster;
        if (roster == null || process.equals(mSelf.id())) {
            return;
        }
        List<Member> concerned = new ArrayList<>(roster.members());
        concerned.addAll(roster.previous());
        for (Member member : concerned) {
            if (member.id().equals(process) || process.replaces(member.id())) {
                mPeers.gone(member.id(), now);
                mStore.hurry();
            }
        }
    }

    private void sendHeartbeats(Roster roster, long now, List<RosterEffect> effects) {
        RosterPlan plan = plan(roster, now);
        mNextHeartbeatAt = now + plan.ownInterval(mSites.services());
        if (mHighestEpoch == roster.epoch() && mConfirmation != null) {
            mConfirmation.acknowledged(mSelf.id(), roster.epoch(), now);
        }
        for (Member target : plan.targets(mStore.wrote(roster))) {
            send(target, now, effects);
        }
    }

    private void send(Member target, long now, List<RosterEffect> effects) {
        Roster roster = mRoster;
        long epoch = roster == null ? 0 : roster.epoch();
        boolean asking = roster != null && isAsking(roster, now);
        mAsked |= asking && mWanted == Wanted.SERVING;
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
                        asking ? mWanted : Wanted.GONE,
                        confirmed(now),
                        roster == null
                                ? mSchedule.ownerFloorMillis()
                                : plan(roster, now).ownInterval(mSites.services()),
                        roster == null || mPeers.has(target.id(), roster) ? null : roster);
        effects.add(new RosterEffect.SendHeartbeat(target, heartbeat, now));
    }

    private boolean isAsking(Roster roster, long now) {
        return isListed() || mRejoin.mayJoin(roster, mPeers, now);
    }

    // Silence counts only while this voter is in contact with a quorum without a break: a process
    // that was paused or cut off has heard nobody and must not suspect the others. An old
    // confirmation is no contact; it lasts longer than the time after which silence is suspected.
    private void watch(Roster roster, long now) {
        long interval = roster.heartbeatMillis();
        long fresh = HeartbeatSchedule.confirmationMillis(interval) - 5 * interval / 2;
        boolean contact =
                confirmed(now)
                        && roster.isVoter(mSelf.id())
                        && mConfirmation != null
                        && mConfirmation.confirmedUntil() - now >= fresh;
        if (!contact) {
            mWatchingSince = Long.MAX_VALUE;
        } else if (mWatchingSince == Long.MAX_VALUE || now - mLastInputAt > interval) {
            mWatchingSince = now;
        }
        mLastInputAt = now;
    }

    private void leaveIfDone(long now, List<RosterEffect> effects) {
        if (mWanted != Wanted.GONE || mLeft || isListed() || mStore.writing()) {
            return;
        }
        Roster roster = mRoster;
        boolean told = roster == null || roster.settled();
        if (roster != null) {
            for (Member voter : roster.voters()) {
                told |=
                        mPeers.answeredAt(voter.id()) >= mAdoptedAt
                                && mPeers.hasEpoch(voter.id(), roster);
            }
        }
        if (told) {
            mLeft = true;
            mSites.stopAll(effects);
            effects.add(new RosterEffect.Left());
        }
    }

    private void forgetOldPeers(long now) {
        Roster roster = mRoster;
        if (roster != null) {
            mPeers.prune(
                    id -> roster.member(id) != null || Roster.find(roster.previous(), id) != null,
                    now - 10 * mSchedule.memberInterval(roster.members().size()));
        }
    }

    private boolean isListed() {
        return mRoster != null && mSupersededBy == null && mRoster.member(mSelf.id()) != null;
    }

    private boolean confirmed(long now) {
        return isListed() && mConfirmation != null && mConfirmation.confirmedAt(now);
    }
}
