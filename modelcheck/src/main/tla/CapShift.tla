------------------------------ MODULE CapShift ------------------------------
(***************************************************************************)
(* Parts of one cap that the zones may use while settings versions move    *)
(* traffic between them. Each version splits the same cap in another way.  *)
(* A zone that is cut off takes no step and keeps its old part.            *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Zones,      \* zones that share the cap
    Versions,   \* number of versions
    UseMinimum  \* FALSE in a broken variant: a new part is used at once

VARIABLES
    version,  \* version[z]: version that all owners of zone z serve by
    acked,    \* acked[z]: version in the row acks/z, at most version[z]
    lowest,   \* lowest[z]: lowest acknowledged version of all zones that z has read
    part      \* part[v][z]: part of zone z in version v

vars == <<version, acked, lowest, part>>

Cap == 2
Splits == {f \in [Zones -> 0..Cap] : \A z \in Zones : f[z] \in {0, 1, 2}}
RECURSIVE SumOf(_, _)
SumOf(f, S) == IF S = {} THEN 0
               ELSE LET x == CHOOSE x \in S : TRUE IN f[x] + SumOf(f, S \ {x})
FullSplits == {f \in Splits : SumOf(f, Zones) = Cap}
MinOf(S) == CHOOSE x \in S : \A y \in S : x <= y

Init ==
    /\ version = [z \in Zones |-> 1]
    /\ acked = [z \in Zones |-> 1]
    /\ lowest = [z \in Zones |-> 1]
    /\ part \in [1..Versions -> FullSplits]

Learn(z) ==
    /\ version[z] < Versions
    /\ version' = [version EXCEPT ![z] = @ + 1]
    /\ UNCHANGED <<acked, lowest, part>>

Acknowledge(z) ==
    /\ acked[z] < version[z]
    /\ acked' = [acked EXCEPT ![z] = version[z]]
    /\ UNCHANGED <<version, lowest, part>>

\* The rows may be read late, one by one; each only rises.
ReadAcks(z) ==
    \E low \in lowest[z]..MinOf({acked[y] : y \in Zones}) :
        /\ low > lowest[z]
        /\ lowest' = [lowest EXCEPT ![z] = low]
        /\ UNCHANGED <<version, acked, part>>

Next == \E z \in Zones : Learn(z) \/ Acknowledge(z) \/ ReadAcks(z)
Spec == Init /\ [][Next]_vars

Usable(z) ==
    IF UseMinimum
    THEN MinOf({part[v][z] : v \in lowest[z]..version[z]})
    ELSE part[version[z]][z]

\* The zones together never use more than the cap.
WithinCap == SumOf([z \in Zones |-> Usable(z)], Zones) <= Cap
=============================================================================
