------------------------------ MODULE CapShift ------------------------------
(***************************************************************************)
(* Quotas of one cap that the zones may use during settings changes that   *)
(* reassign it. Each version divides the same cap in another way. A zone   *)
(* that is partitioned takes no step and keeps its old quota.              *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS
    Zones,      \* zones that share the cap
    Versions,   \* number of versions
    UseMinimum  \* FALSE in a broken variant: a new quota is used immediately

VARIABLES
    version,  \* version[z]: version that all owners of zone z serve by
    acked,    \* acked[z]: version in the row acks/z, at most version[z]
    lowest,   \* lowest[z]: lowest acknowledged version of all zones that z has read
    quota     \* quota[v][z]: quota of zone z in version v

vars == <<version, acked, lowest, quota>>

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
    /\ quota \in [1..Versions -> FullSplits]

Learn(z) ==
    /\ version[z] < Versions
    /\ version' = [version EXCEPT ![z] = @ + 1]
    /\ UNCHANGED <<acked, lowest, quota>>

Acknowledge(z) ==
    /\ acked[z] < version[z]
    /\ acked' = [acked EXCEPT ![z] = version[z]]
    /\ UNCHANGED <<version, lowest, quota>>

\* Rows may be read one by one and may be stale; each row only increases.
ReadAcks(z) ==
    \E low \in lowest[z]..MinOf({acked[y] : y \in Zones}) :
        /\ low > lowest[z]
        /\ lowest' = [lowest EXCEPT ![z] = low]
        /\ UNCHANGED <<version, acked, quota>>

Next == \E z \in Zones : Learn(z) \/ Acknowledge(z) \/ ReadAcks(z)
Spec == Init /\ [][Next]_vars

Usable(z) ==
    IF UseMinimum
    THEN MinOf({quota[v][z] : v \in lowest[z]..version[z]})
    ELSE quota[version[z]][z]

\* The quotas that the zones use never add up to more than the cap.
WithinCap == SumOf([z \in Zones |-> Usable(z)], Zones) <= Cap
=============================================================================
