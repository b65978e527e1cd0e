------------------------------ MODULE Settings ------------------------------
(***************************************************************************)
(* Replication of settings versions to the entry hosts of one availability *)
(* zone.                                                                   *)
(*                                                                         *)
(* A lost message, a partition and a crash without a restart are steps     *)
(* that are not taken.                                                     *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Hosts,       \* hosts of the zone, by name; a restart keeps the name
    MaxVersion,  \* bound on accepted changes
    UseFloor     \* FALSE in a broken variant: a restarted host accepts a stale read

VARIABLES
    head,    \* version of the platform's head row
    floor,   \* settingsFloor of the zone's roster row
    adopted, \* adopted[h]: version in the memory of h; 0 after a restart
    required, \* required[h]: floor that h read when it joined
    ready,   \* ready[h]: h serves by adopted[h]
    served,  \* served[h]: highest version that the host named h has ever served by
    durable  \* durable[h]: highest version that h had served by and that the floor had
             \* reached when h last joined

vars == <<head, floor, adopted, required, ready, served, durable>>

Max(a, b) == IF a > b THEN a ELSE b
Min(a, b) == IF a < b THEN a ELSE b

Init ==
    /\ head = 1 /\ floor = 1
    /\ adopted = [h \in Hosts |-> 0]
    /\ required = [h \in Hosts |-> 0]
    /\ ready = [h \in Hosts |-> FALSE]
    /\ served = [h \in Hosts |-> 0]
    /\ durable = [h \in Hosts |-> 0]

\* An operator's compare-and-set takes effect; whether its answer is lost does not
\* matter for what is in force.
Accept ==
    /\ head < MaxVersion
    /\ head' = head + 1
    /\ UNCHANGED <<floor, adopted, required, ready, served, durable>>

Adopt(h, v) ==
    /\ v > adopted[h]
    /\ adopted' = [adopted EXCEPT ![h] = v]
    /\ UNCHANGED <<head, floor, required, ready, served, durable>>

\* A steward reads the head row; the read may be stale.
Poll(h) == \E v \in 1..head : Adopt(h, v)

\* A member or another zone's steward replicates its version; a message may be delayed.
Replicate(g, h) == \E v \in 1..adopted[g] : Adopt(h, v)

\* A member raises the floor to its version by compare-and-set.
RaiseFloor(h) ==
    /\ ready[h] /\ adopted[h] > floor
    /\ floor' = adopted[h]
    /\ UNCHANGED <<head, adopted, required, ready, served, durable>>

\* The join is a compare-and-set on the roster row, which fails after a stale read.
Join(h) ==
    /\ ~ready[h] /\ required[h] = 0
    /\ required' = [required EXCEPT ![h] = IF UseFloor THEN floor ELSE 1]
    /\ durable' = [durable EXCEPT ![h] = Max(@, Min(served[h], floor))]
    /\ UNCHANGED <<head, floor, adopted, ready, served>>

Serve(h) ==
    /\ required[h] > 0 /\ adopted[h] >= required[h]
    /\ ready' = [ready EXCEPT ![h] = TRUE]
    /\ served' = [served EXCEPT ![h] = Max(@, adopted[h])]
    /\ UNCHANGED <<head, floor, adopted, required, durable>>

Restart(h) ==
    /\ adopted' = [adopted EXCEPT ![h] = 0]
    /\ required' = [required EXCEPT ![h] = 0]
    /\ ready' = [ready EXCEPT ![h] = FALSE]
    /\ UNCHANGED <<head, floor, served, durable>>

Next ==
    \/ Accept
    \/ \E h \in Hosts : Poll(h) \/ RaiseFloor(h) \/ Join(h) \/ Serve(h) \/ Restart(h)
    \/ \E g, h \in Hosts : Replicate(g, h)

Spec == Init /\ [][Next]_vars

\* A ready host has at least the version that it had served by before its restart, as far
\* as the floor had reached that version, even after stale reads.
NeverReverts == \A h \in Hosts : ready[h] => adopted[h] >= durable[h]

\* The version of a running process never decreases.
RisesWhileRunning == [][\A h \in Hosts : adopted'[h] >= adopted[h] \/ adopted'[h] = 0]_vars

\* Only accepted versions are served.
Accepted == \A h \in Hosts : served[h] <= head

\* While the platform and the zone are connected, each accepted version comes into force.
FairSpec ==
    /\ Init
    /\ [][Accept \/ \E h \in Hosts : Adopt(h, head) \/ RaiseFloor(h) \/ Join(h) \/ Serve(h)]_vars
    /\ WF_vars(Accept)
    /\ \A h \in Hosts :
        /\ WF_vars(Adopt(h, head)) /\ WF_vars(RaiseFloor(h)) /\ WF_vars(Join(h))
        /\ WF_vars(Serve(h))

InForce == <>(\A h \in Hosts : served[h] = MaxVersion)
=============================================================================
