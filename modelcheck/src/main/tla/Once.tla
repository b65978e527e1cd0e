-------------------------------- MODULE Once --------------------------------
(***************************************************************************)
(* One piece of work that must not repeat, named by a token of one         *)
(* incarnation or by the client's own key and a claim in the platform's    *)
(* table.                                                                  *)
(*                                                                         *)
(* The client sends the work again and again, to the same or to another    *)
(* entry host. A message that is lost or late is a step that is not taken; *)
(* a message once sent may arrive at any later time.                       *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Hosts,          \* entry hosts that a client may try
    MaxSends,       \* bound on the client's tries
    MaxRestarts,    \* bound on restarts of entry hosts
    ByClaim,        \* TRUE: key and claim; FALSE: token
    HonourOld,      \* broken variant: a new incarnation honours an old token
    RepeatClaim     \* broken variant: a host whose claim write got no answer goes on

VARIABLES
    incarnation, \* incarnation[h]
    arriving,    \* tries on their way: set of <<try, host>>
    sends,       \* number of tries so far
    ledger,      \* ledger[h]: "new", "sent" or "done" in the memory of h
    claim,       \* row of the claim: {} or {<<host, incarnation, try>>}
    claiming,    \* tries whose claim write is under way: set of <<try, host, incarnation>>
    dispatched,  \* work on its way to the backend server: set of tries
    runs,        \* number of runs
    notRun       \* tries that were told "not run"

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
\* Token: another host forwards to the issuer; the model lets the try arrive there
\* later. The issuer's incarnation 1 has issued the token.
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
\* Claim: the host writes the row if it is absent. The write takes effect or not; in
\* either case the answer may be lost, after which the host reads the row back.
StartClaim(m) ==
    /\ ByClaim
    /\ claiming' = claiming \cup {<<m[1], m[2], incarnation[m[2]]>>}
    /\ arriving' = arriving \ {m}
    /\ UNCHANGED <<incarnation, sends, ledger, claim, dispatched, runs, notRun>>

WriteClaim(c) ==
    /\ claim = {}
    /\ claim' = {c}
    /\ UNCHANGED <<incarnation, arriving, sends, ledger, claiming, dispatched, runs, notRun>>

\* The host knows by answer or by read-back that the row names its own try.
GoOn(c) ==
    /\ claim = {c} \/ RepeatClaim
    /\ claiming' = claiming \ {c}
    /\ dispatched' = dispatched \cup {c[1]}
    /\ UNCHANGED <<incarnation, arriving, sends, ledger, claim, runs, notRun>>

\* The platform does not answer: the work is refused as not run. The write may still
\* take effect, or may have taken effect.
GiveUp(c) ==
    /\ claiming' = claiming \ {c}
    /\ notRun' = notRun \cup {c[1]}
    /\ UNCHANGED <<incarnation, arriving, sends, ledger, claim, dispatched, runs>>

\* A late write of a try that was given up.
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

\* A certain refusal by the site owner or the backend server: the work has not run,
\* and the token may be used again.
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
    \/ \E c \in claiming : WriteClaim(c) \/ GoOn(c) \/ GiveUp(c)
    \/ \E t \in 1..MaxSends, h \in Hosts : LateWrite(t, h)
    \/ \E t \in 1..MaxSends : Run(t) \/ Refuse(t)

Spec == Init /\ [][Next]_vars

AtMostOnce == runs <= 1

\* A try that was told "not run" has not run and is not on its way.
NotRunIsTrue == notRun \cap dispatched = {}
=============================================================================
