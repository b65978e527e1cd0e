-------------------------------- MODULE Once --------------------------------
(***************************************************************************)
(* At-most-once execution of one request, identified by a token of one     *)
(* host incarnation, or by the client's idempotency key and a claim in the *)
(* platform's table.                                                       *)
(*                                                                         *)
(* The client retries the request on the same or another entry host. A     *)
(* lost or delayed message is a step that is not taken; a sent message may *)
(* arrive at any later time.                                               *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Hosts,          \* entry hosts that a client may send to
    MaxSends,       \* bound on the client's attempts
    MaxRestarts,    \* bound on restarts of entry hosts
    ByClaim,        \* TRUE: idempotency key and claim; FALSE: token
    HonourOld,      \* broken variant: a new incarnation accepts an old token
    RepeatClaim     \* broken variant: a host dispatches although its claim write got no answer

VARIABLES
    incarnation, \* incarnation[h]
    arriving,    \* attempts in transit: set of <<attempt, host>>
    sends,       \* number of attempts so far
    ledger,      \* ledger[h]: "new", "sent" or "done" in the memory of h
    claim,       \* row of the claim: {} or {<<attempt, host, incarnation>>}
    claiming,    \* attempts with a pending claim write: set of <<attempt, host, incarnation>>
    dispatched,  \* attempts in transit to the backend server
    runs,        \* number of executions
    notRun       \* attempts that were answered "not run"

vars == <<incarnation, arriving, sends, ledger, claim, claiming, dispatched, runs, notRun>>

Issuer == CHOOSE h \in Hosts : \A g \in Hosts : h <= g

Init ==
    /\ incarnation = [h \in Hosts |-> 1]
    /\ arriving = {} /\ sends = 0
    /\ ledger = [h \in Hosts |-> "new"]
    /\ claim = {} /\ claiming = {}
    /\ dispatched = {} /\ runs = 0 /\ notRun = {}

Send(h) ==
    /\ sends < MaxSends
    /\ sends' = sends + 1
    /\ arriving' = arriving \cup {<<sends + 1, h>>}
    /\ UNCHANGED <<incarnation, ledger, claim, claiming, dispatched, runs, notRun>>

Restart(h) ==
    /\ incarnation[h] <= MaxRestarts
    /\ incarnation' = [incarnation EXCEPT ![h] = @ + 1]
    /\ ledger' = [ledger EXCEPT ![h] = "new"]
    /\ claiming' = {c \in claiming : c[2] # h}
    /\ UNCHANGED <<arriving, sends, claim, dispatched, runs, notRun>>

-----------------------------------------------------------------------------
\* Token: another host forwards the attempt to the issuer, where it arrives later.
\* Incarnation 1 of the issuer has issued the token.
Forward(m) ==
    /\ ~ByClaim /\ m[2] # Issuer
    /\ arriving' = (arriving \ {m}) \cup {<<m[1], Issuer>>}
    /\ UNCHANGED <<incarnation, sends, ledger, claim, claiming, dispatched, runs, notRun>>

Honour(m) ==
    /\ ~ByClaim /\ m[2] = Issuer
    /\ incarnation[Issuer] = 1 \/ HonourOld
    /\ ledger[Issuer] = "new"
    /\ ledger' = [ledger EXCEPT ![Issuer] = "sent"]
    /\ dispatched' = dispatched \cup {m[1]}
    /\ arriving' = arriving \ {m}
    /\ UNCHANGED <<incarnation, sends, claim, claiming, runs, notRun>>

-----------------------------------------------------------------------------
\* Claim: the host inserts the row if it is absent. The write takes effect or not; in
\* either case the answer may be lost, after which the host reads the row.
StartClaim(m) ==
    /\ ByClaim
    /\ claiming' = claiming \cup {<<m[1], m[2], incarnation[m[2]]>>}
    /\ arriving' = arriving \ {m}
    /\ UNCHANGED <<incarnation, sends, ledger, claim, dispatched, runs, notRun>>

WriteClaim(c) ==
    /\ claim = {}
    /\ claim' = {c}
    /\ UNCHANGED <<incarnation, arriving, sends, ledger, claiming, dispatched, runs, notRun>>

\* The host knows from the answer or from reading the row that it names its own attempt.
DispatchClaimed(c) ==
    /\ claim = {c} \/ RepeatClaim
    /\ claiming' = claiming \ {c}
    /\ dispatched' = dispatched \cup {c[1]}
    /\ UNCHANGED <<incarnation, arriving, sends, ledger, claim, runs, notRun>>

\* The platform does not answer: the attempt is rejected as not run. The write may have
\* taken effect, or may still do so.
AbortClaim(c) ==
    /\ claiming' = claiming \ {c}
    /\ notRun' = notRun \cup {c[1]}
    /\ UNCHANGED <<incarnation, arriving, sends, ledger, claim, dispatched, runs>>

\* A delayed claim write of an aborted attempt.
LateWrite(t, h) ==
    /\ ByClaim /\ claim = {} /\ t \in notRun
    /\ claim' = {<<t, h, incarnation[h]>>}
    /\ UNCHANGED <<incarnation, arriving, sends, ledger, claiming, dispatched, runs, notRun>>

-----------------------------------------------------------------------------
Run(t) ==
    /\ t \in dispatched
    /\ dispatched' = dispatched \ {t}
    /\ runs' = runs + 1
    /\ UNCHANGED <<incarnation, arriving, sends, ledger, claim, claiming, notRun>>

\* A definite rejection by the site owner or the backend server: the attempt has not
\* run, and the token may be used again.
Refuse(t) ==
    /\ t \in dispatched
    /\ dispatched' = dispatched \ {t}
    /\ notRun' = notRun \cup {t}
    /\ ledger' = IF ~ByClaim /\ incarnation[Issuer] = 1
                 THEN [ledger EXCEPT ![Issuer] = "new"] ELSE ledger
    /\ claim' = IF ByClaim THEN {} ELSE claim
    /\ UNCHANGED <<incarnation, arriving, sends, claiming, runs>>

Next ==
    \/ \E h \in Hosts : Send(h) \/ Restart(h)
    \/ \E m \in arriving : Forward(m) \/ Honour(m) \/ StartClaim(m)
    \/ \E c \in claiming : WriteClaim(c) \/ DispatchClaimed(c) \/ AbortClaim(c)
    \/ \E t \in 1..MaxSends, h \in Hosts : LateWrite(t, h)
    \/ \E t \in 1..MaxSends : Run(t) \/ Refuse(t)

Spec == Init /\ [][Next]_vars

AtMostOnce == runs <= 1

\* An attempt that was answered "not run" is not in transit to the backend server.
NotRunIsTrue == notRun \cap dispatched = {}
=============================================================================
