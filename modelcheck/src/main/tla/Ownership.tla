----------------------------- MODULE Ownership -----------------------------
(***************************************************************************)
(* Ownership of one site by the entry hosts of one availability zone under *)
(* quorum leases, with the in-flight cap that the owner enforces.          *)
(*                                                                         *)
(* A crash, a pause, a partition and a delayed or lost message are all     *)
(* modelled by a step that is not taken: no action has to happen, except   *)
(* Tick. CanSend is evaluated for every host at every instant, also for a  *)
(* paused host, because Redwing-Start-By makes a backend server drop       *)
(* requests that were sent after the sender's lease expired.               *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Hosts,          \* set of positive numbers; one number is one incarnation
    MaxEpoch,       \* bound on roster changes
    Confirm,        \* lease period, in ticks
    SettleWait,     \* settle wait, in ticks; must exceed Confirm
    RunTime,        \* maximum duration of a dispatched request, in ticks
    Cap,            \* in-flight cap of the site
    AckOldEpoch,    \* broken variant: a voter acknowledges earlier epochs than its own
    CountFormerWork \* FALSE in a broken variant: a new owner ignores its predecessor's requests

VARIABLES
    roster,     \* roster[e]: members of epoch e, as written in the platform's row
    epoch,      \* epoch of the row
    settled,    \* settledEpoch of the row
    known,      \* known[h]: epoch that host h has adopted; 0 if none
    knownSettled, \* knownSettled[h]: highest settledEpoch that h knows
    begun,      \* begun[h]: epoch in which h has started the site; 0 if none
    ackAge,     \* ackAge[h][v]: ticks since v last acknowledged h's epoch
    learnAge,   \* learnAge[v]: ticks since v adopted the current epoch
    work,       \* work[h]: requests in flight that h has dispatched
    workAge,    \* workAge[h]: ticks since h last dispatched
    inherited,  \* inherited[h]: previous owners' requests that h counts as in flight
    inheritedAge \* inheritedAge[h]: ticks since h started to count them

vars == <<roster, epoch, settled, known, knownSettled, begun, ackAge, learnAge,
          work, workAge, inherited, inheritedAge>>

Min(S) == CHOOSE x \in S : \A y \in S : x <= y
Max(S) == CHOOSE x \in S : \A y \in S : x >= y
Least(a, b) == IF a < b THEN a ELSE b

\* The first voter is the smallest member and the owner the largest, so that the
\* two roles fall on different hosts.
Owner(e) == Max(roster[e])
IsQuorum(S, e) ==
    LET n == Cardinality(roster[e])
        k == Cardinality(S \cap roster[e])
    IN  2 * k > n \/ (2 * k = n /\ Min(roster[e]) \in S)

Confirmed(h) ==
    IsQuorum({v \in roster[known[h]] : v = h \/ ackAge[h][v] <= Confirm}, known[h])

CanSend(h) == known[h] > 0 /\ Owner(known[h]) = h /\ begun[h] = known[h] /\ Confirmed(h)

Init ==
    /\ roster = [e \in 1..MaxEpoch |-> IF e = 1 THEN {Min(Hosts)} ELSE {}]
    /\ epoch = 1 /\ settled = 1
    /\ known = [h \in Hosts |-> 0]
    /\ knownSettled = [h \in Hosts |-> 0]
    /\ begun = [h \in Hosts |-> 0]
    /\ ackAge = [h \in Hosts |-> [v \in Hosts |-> Confirm + 1]]
    /\ learnAge = [h \in Hosts |-> 0]
    /\ work = [h \in Hosts |-> 0]
    /\ workAge = [h \in Hosts |-> 0]
    /\ inherited = [h \in Hosts |-> 0]
    /\ inheritedAge = [h \in Hosts |-> 0]

\* A host that has adopted the row's epoch changes the members by compare-and-set. The
\* answer may be lost: the host adopts its own change by a later read.
Change(w) ==
    /\ known[w] = epoch /\ settled = epoch /\ epoch < MaxEpoch
    /\ \E S \in SUBSET Hosts :
        /\ S # {} /\ S # roster[epoch]
        /\ roster' = [roster EXCEPT ![epoch + 1] = S]
    /\ epoch' = epoch + 1
    /\ learnAge' = [h \in Hosts |-> 0]
    /\ UNCHANGED <<settled, known, knownSettled, begun, ackAge, work, workAge,
                   inherited, inheritedAge>>

\* A host reads the row or receives it from another host; the row may be stale.
Learn(h) ==
    \E e \in 1..epoch, s \in 0..settled :
        /\ e >= known[h] /\ s >= knownSettled[h] /\ s <= e /\ s + 1 >= e
        /\ e > known[h] \/ (Owner(e) = h /\ s > knownSettled[h])
        /\ known' = [known EXCEPT ![h] = e]
        \* Only the owner of an epoch uses the information that it is settled.
        /\ knownSettled' = [knownSettled EXCEPT ![h] = IF Owner(e) = h THEN s ELSE e - 1]
        /\ IF e > known[h]
           THEN /\ ackAge' = [ackAge EXCEPT ![h] = [v \in Hosts |-> Confirm + 1]]
                /\ learnAge' = [learnAge EXCEPT ![h] = 0]
           ELSE UNCHANGED <<ackAge, learnAge>>
        \* An owner that was active in the previous epoch stays active. One that has
        \* skipped an epoch does not: another host may have been active in it.
        /\ begun' = IF e > known[h] /\ Owner(e) = h /\ e > 1 /\ begun[h] = e - 1
                    THEN [begun EXCEPT ![h] = e] ELSE begun
        /\ UNCHANGED <<roster, epoch, settled, work, workAge, inherited, inheritedAge>>

\* The owner of a settled epoch starts the site; so does the owner of an unsettled epoch
\* that also owned the settled epoch before it. It counts the whole cap as in flight.
Begin(h) ==
    LET e == known[h] IN
    /\ e > 0 /\ Owner(e) = h /\ begun[h] # e
    /\ knownSettled[h] >= e \/ (e > 1 /\ Owner(e - 1) = h)
    /\ begun' = [begun EXCEPT ![h] = e]
    /\ inherited' = [inherited EXCEPT ![h] = IF e > 1 /\ CountFormerWork THEN Cap ELSE 0]
    /\ inheritedAge' = [inheritedAge EXCEPT ![h] = 0]
    /\ UNCHANGED <<roster, epoch, settled, known, knownSettled, ackAge, learnAge,
                   work, workAge>>

\* Voter v acknowledges a heartbeat that h sends now.
Ack(h, v) ==
    /\ h # v /\ known[h] > 0 /\ v \in roster[known[h]] /\ Owner(known[h]) = h
    /\ known[v] = known[h] \/ (AckOldEpoch /\ known[v] > known[h])
    /\ ackAge[h][v] # 0
    /\ ackAge' = [ackAge EXCEPT ![h][v] = 0]
    /\ UNCHANGED <<roster, epoch, settled, known, knownSettled, begun, learnAge,
                   work, workAge, inherited, inheritedAge>>

\* The previous owner has adopted the new epoch, has stopped dispatching and reports
\* its requests in flight to the new owner.
Release ==
    LET e == epoch IN
    /\ e > 1 /\ settled < e
    /\ LET old == Owner(e - 1)
           new == Owner(e)
       IN  /\ old # new /\ known[old] >= e /\ known[new] = e /\ begun[new] # e
           /\ begun' = [begun EXCEPT ![new] = e]
           \* A previous owner that never started does not know what is in flight.
           /\ inherited' = [inherited EXCEPT ![new] =
                          IF ~CountFormerWork THEN 0
                          ELSE IF begun[old] = e - 1 THEN Least(Cap, work[old] + inherited[old])
                          ELSE Cap]
           /\ inheritedAge' = [inheritedAge EXCEPT ![new] = 0]
    /\ UNCHANGED <<roster, epoch, settled, known, knownSettled, ackAge, learnAge,
                   work, workAge>>

Settle ==
    LET e == epoch
        learned == {v \in Hosts : known[v] >= e}
        waited == {v \in learned : learnAge[v] >= SettleWait}
    IN  /\ settled < e
        /\ \/ roster[e - 1] \subseteq learned
           \/ IsQuorum(waited, e - 1)
        /\ settled' = e
        /\ UNCHANGED <<roster, epoch, known, knownSettled, begun, ackAge, learnAge,
                       work, workAge, inherited, inheritedAge>>

Dispatch(h) ==
    /\ CanSend(h)
    /\ work[h] + inherited[h] < Cap
    /\ work' = [work EXCEPT ![h] = @ + 1]
    /\ workAge' = [workAge EXCEPT ![h] = 0]
    /\ UNCHANGED <<roster, epoch, settled, known, knownSettled, begun, ackAge, learnAge,
                   inherited, inheritedAge>>

Finish(h) ==
    /\ work[h] > 0
    /\ work' = [work EXCEPT ![h] = @ - 1]
    /\ UNCHANGED <<roster, epoch, settled, known, knownSettled, begun, ackAge, learnAge,
                   workAge, inherited, inheritedAge>>

Tick ==
    /\ ackAge' = [h \in Hosts |-> [v \in Hosts |-> Least(ackAge[h][v] + 1, Confirm + 1)]]
    /\ learnAge' = [h \in Hosts |->
                     IF settled = epoch \/ known[h] < epoch THEN 0
                     ELSE Least(learnAge[h] + 1, SettleWait)]
    /\ workAge' = [h \in Hosts |-> IF work[h] > 0 THEN workAge[h] + 1 ELSE 0]
    /\ work' = [h \in Hosts |-> IF workAge'[h] > RunTime THEN 0 ELSE work[h]]
    /\ inheritedAge' = [h \in Hosts |-> IF inherited[h] > 0 THEN inheritedAge[h] + 1 ELSE 0]
    /\ inherited' = [h \in Hosts |-> IF inheritedAge'[h] > RunTime THEN 0 ELSE inherited[h]]
    /\ UNCHANGED <<roster, epoch, settled, known, knownSettled, begun>>

Next ==
    \/ \E h \in Hosts : Change(h) \/ Learn(h) \/ Begin(h) \/ Dispatch(h) \/ Finish(h)
    \/ \E h, v \in Hosts : Ack(h, v)
    \/ Release \/ Settle \/ Tick

Spec == Init /\ [][Next]_vars

RECURSIVE SumOf(_, _)
SumOf(f, S) == IF S = {} THEN 0
               ELSE LET x == CHOOSE x \in S : TRUE IN f[x] + SumOf(f, S \ {x})

\* At most one host can dispatch requests of the site.
OneOwner == Cardinality({h \in Hosts : CanSend(h)}) <= 1

\* The requests in flight of all hosts never exceed the cap.
WithinCap == SumOf(work, Hosts) <= Cap

-----------------------------------------------------------------------------
\* Liveness of a zone that is partitioned from the platform: no step reads or writes
\* the row, one member has crashed, the others exchange messages.
CutOffInit ==
    /\ roster = [e \in 1..MaxEpoch |-> IF e = 1 THEN Hosts ELSE {}]
    /\ epoch = 1 /\ settled = 1
    /\ known = [h \in Hosts |-> 1]
    /\ knownSettled = [h \in Hosts |-> 1]
    /\ begun = [h \in Hosts |-> IF h = Max(Hosts) THEN 1 ELSE 0]
    /\ ackAge = [h \in Hosts |-> [v \in Hosts |-> Confirm + 1]]
    /\ learnAge = [h \in Hosts |-> 0]
    /\ work = [h \in Hosts |-> 0]
    /\ workAge = [h \in Hosts |-> 0]
    /\ inherited = [h \in Hosts |-> 0]
    /\ inheritedAge = [h \in Hosts |-> 0]

Alive == Hosts \ {Min(Hosts)}
CutOffNext ==
    \/ \E h, v \in Alive : Ack(h, v)
    \/ \E h \in Alive : Dispatch(h) \/ Finish(h)
    \/ Tick

CutOffSpec ==
    /\ CutOffInit /\ [][CutOffNext]_vars
    /\ \A h, v \in Alive : WF_vars(Ack(h, v))
    /\ SF_vars(Dispatch(Owner(1)))
    /\ WF_vars(Tick)

\* The owner dispatches requests infinitely often.
Serves == []<>(work[Owner(1)] > 0)
=============================================================================
