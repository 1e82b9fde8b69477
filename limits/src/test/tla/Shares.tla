------------------------------- MODULE Shares -------------------------------
(* The exchange of shares of one limit between holders and coordinators,     *)
(* which the names of this module call homes. Messages stay in a set, so     *)
(* each may be lost, delayed or delivered again at any time. A process may   *)
(* restart with empty memory at any time. A lease expires (lapses) some time *)
(* after its holder was fenced; until then the holder may use its share.     *)
(* Each constant after MaxRestarts disables one mechanism when it is FALSE.  *)
EXTENDS Integers, FiniteSets

CONSTANTS
  Hosts, FirstHome, Total, MaxEpoch, MaxIncarnation, MaxSequence, MaxRestarts,
  WaitsForLapse,    \* shares are granted again only after their lease expired
  StoresAnswer,     \* a retransmitted exchange gets the stored grant
  ClosesEpoch       \* members stop transfers of an epoch before the next one

VARIABLES
  incarnation,  \* host -> number of the current process
  fenced,       \* host -> whether the current incarnation is fenced
  lapsed,       \* host -> whether its lease has expired, so it uses no share
  share,        \* host -> share of the current incarnation
  epoch,        \* host -> epoch in which it exchanges shares
  sequence,     \* host -> number of its last exchange in that epoch
  open,         \* host -> whether that exchange has no grant yet
  closed,       \* host -> newest closed epoch
  current,      \* newest epoch in the store
  home,         \* epoch -> incarnation of its coordinator
  pool,         \* epoch -> pool of its coordinator
  out,          \* epoch -> incarnation -> outstanding share in the ledger
  answered,     \* epoch -> incarnation -> number of the last exchange answered
  messages

vars == <<incarnation, fenced, lapsed, share, epoch, sequence, open, closed,
          current, home, pool, out, answered, messages>>

Incarnations == Hosts \X (1..MaxIncarnation)
Epochs == 1..MaxEpoch
Self(h) == <<h, incarnation[h]>>

IsGone(i) == incarnation[i[1]] > i[2] \/ lapsed[i[1]]
IsReclaimable(i) ==
  \/ IsGone(i)
  \/ ~WaitsForLapse /\ incarnation[i[1]] = i[2] /\ fenced[i[1]]

RECURSIVE Sum(_, _)
Sum(f, s) ==
  IF s = {} THEN 0
  ELSE LET x == CHOOSE x \in s : TRUE IN f[x] + Sum(f, s \ {x})

Init ==
  /\ incarnation = [h \in Hosts |-> 1]
  /\ fenced = [h \in Hosts |-> FALSE]
  /\ lapsed = [h \in Hosts |-> FALSE]
  /\ share = [h \in Hosts |-> 0]
  /\ epoch = [h \in Hosts |-> 1]
  /\ sequence = [h \in Hosts |-> 0]
  /\ open = [h \in Hosts |-> FALSE]
  /\ closed = [h \in Hosts |-> 0]
  /\ current = 1
  /\ home = [e \in Epochs |-> <<FirstHome, 1>>]
  /\ pool = [e \in Epochs |-> IF e = 1 THEN Total ELSE 0]
  /\ out = [e \in Epochs |-> [i \in Incarnations |-> 0]]
  /\ answered = [e \in Epochs |-> [i \in Incarnations |-> 0]]
  /\ messages = {}

TakesPart(h) == ~lapsed[h] /\ epoch[h] > closed[h]

(* The process of the coordinator of e still runs, its lease has not expired *)
(* and it has not closed e. *)
IsActing(e) ==
  /\ e <= current
  /\ Self(home[e][1]) = home[e]
  /\ ~lapsed[home[e][1]]
  /\ closed[home[e][1]] < e

Send(h) ==
  /\ TakesPart(h)
  /\ ~open[h]
  /\ sequence[h] < MaxSequence
  /\ \E returned \in 0..share[h] :
       /\ share' = [share EXCEPT ![h] = @ - returned]
       /\ messages' = messages \cup
            {[kind |-> "exchange", who |-> Self(h), epoch |-> epoch[h],
              sequence |-> sequence[h] + 1, amount |-> returned]}
  /\ sequence' = [sequence EXCEPT ![h] = @ + 1]
  /\ open' = [open EXCEPT ![h] = TRUE]
  /\ UNCHANGED <<incarnation, fenced, lapsed, epoch, closed, current, home,
                 pool, out, answered>>

Answer(m) ==
  /\ m.kind = "exchange"
  /\ IsActing(m.epoch)
  /\ ~IsGone(m.who)
  /\ \/ m.sequence = answered[m.epoch][m.who] + 1
     \/ ~StoresAnswer /\ m.sequence = answered[m.epoch][m.who]
  /\ LET e == m.epoch
         back == pool[e] + m.amount
     IN \E granted \in 0..back :
          /\ pool' = [pool EXCEPT ![e] = back - granted]
          /\ out' = [out EXCEPT ![e][m.who] = @ - m.amount + granted]
          /\ messages' = messages \cup
               {[kind |-> "grant", who |-> m.who, epoch |-> e,
                 sequence |-> m.sequence, amount |-> granted]}
  /\ answered' = [answered EXCEPT ![m.epoch][m.who] = m.sequence]
  /\ UNCHANGED <<incarnation, fenced, lapsed, share, epoch, sequence, open,
                 closed, current, home>>

Receive(m) ==
  LET h == m.who[1] IN
  /\ m.kind = "grant"
  /\ m.who = Self(h)
  /\ TakesPart(h)
  /\ m.epoch = epoch[h]
  /\ open[h]
  /\ m.sequence = sequence[h]
  /\ share' = [share EXCEPT ![h] = @ + m.amount]
  /\ open' = [open EXCEPT ![h] = FALSE]
  /\ UNCHANGED <<incarnation, fenced, lapsed, epoch, sequence, closed, current,
                 home, pool, out, answered, messages>>

Adopt(h) ==
  /\ ~lapsed[h]
  /\ current > epoch[h]
  /\ current > closed[h]
  /\ epoch' = [epoch EXCEPT ![h] = current]
  /\ sequence' = [sequence EXCEPT ![h] = 0]
  /\ open' = [open EXCEPT ![h] = FALSE]
  /\ UNCHANGED <<incarnation, fenced, lapsed, share, closed, current, home,
                 pool, out, answered, messages>>

(* A host closes the current epoch for any candidate for coordinator. *)
Close(h) ==
  /\ ~lapsed[h]
  /\ current < MaxEpoch
  /\ epoch[h] <= current
  /\ messages' = messages \cup
       {[kind |-> "report", who |-> Self(h), epoch |-> current,
         sequence |-> 0, amount |-> share[h]]}
  /\ IF ClosesEpoch
     THEN /\ closed' = [closed EXCEPT ![h] = current]
          /\ open' = [open EXCEPT ![h] = FALSE]
     ELSE UNCHANGED <<closed, open>>
  /\ UNCHANGED <<incarnation, fenced, lapsed, share, epoch, sequence, current,
                 home, pool, out, answered>>

Report(h) ==
  {m \in messages : m.kind = "report" /\ m.who = Self(h) /\ m.epoch = current}

(* The conditional write makes the winner the only coordinator of the next   *)
(* epoch. *)
Elect(c) ==
  /\ current < MaxEpoch
  /\ ~fenced[c]
  /\ \A h \in Hosts : Report(h) # {} \/ IsReclaimable(Self(h))
  /\ LET next == current + 1
         live == {h \in Hosts : ~IsReclaimable(Self(h))}
         held == [h \in live |-> (CHOOSE m \in Report(h) : TRUE).amount]
     IN /\ current' = next
        /\ home' = [home EXCEPT ![next] = Self(c)]
        /\ pool' = [pool EXCEPT ![next] = Total - Sum(held, live)]
        /\ out' = [out EXCEPT ![next] =
             [i \in Incarnations |->
               IF i[1] \in live /\ i = Self(i[1]) THEN held[i[1]] ELSE 0]]
  /\ UNCHANGED <<incarnation, fenced, lapsed, share, epoch, sequence, open,
                 closed, answered, messages>>

Reclaim(e, i) ==
  /\ IsActing(e)
  /\ IsReclaimable(i)
  /\ out[e][i] > 0
  /\ pool' = [pool EXCEPT ![e] = @ + out[e][i]]
  /\ out' = [out EXCEPT ![e][i] = 0]
  /\ UNCHANGED <<incarnation, fenced, lapsed, share, epoch, sequence, open,
                 closed, current, home, answered, messages>>

Fence(h) ==
  /\ ~fenced[h]
  /\ fenced' = [fenced EXCEPT ![h] = TRUE]
  /\ UNCHANGED <<incarnation, lapsed, share, epoch, sequence, open, closed,
                 current, home, pool, out, answered, messages>>

(* Messages from or to an expired incarnation have no effect, so they are    *)
(* removed to keep the number of states small. *)
WithoutMessagesOf(h) == {m \in messages : m.who # Self(h)}

Lapse(h) ==
  /\ fenced[h]
  /\ ~lapsed[h]
  /\ lapsed' = [lapsed EXCEPT ![h] = TRUE]
  /\ messages' = WithoutMessagesOf(h)
  /\ UNCHANGED <<incarnation, fenced, share, epoch, sequence, open, closed,
                 current, home, pool, out, answered>>

(* A process restarts, or a fenced one rejoins, with empty memory. *)
Restart(h) ==
  /\ incarnation[h] < MaxIncarnation
  /\ Sum(incarnation, Hosts) < Cardinality(Hosts) + MaxRestarts
  /\ incarnation' = [incarnation EXCEPT ![h] = @ + 1]
  /\ fenced' = [fenced EXCEPT ![h] = FALSE]
  /\ lapsed' = [lapsed EXCEPT ![h] = FALSE]
  /\ share' = [share EXCEPT ![h] = 0]
  /\ epoch' = [epoch EXCEPT ![h] = current]
  /\ sequence' = [sequence EXCEPT ![h] = 0]
  /\ open' = [open EXCEPT ![h] = FALSE]
  /\ closed' = [closed EXCEPT ![h] = 0]
  /\ messages' = WithoutMessagesOf(h)
  /\ UNCHANGED <<current, home, pool, out, answered>>

Next ==
  \/ \E h \in Hosts :
       Send(h) \/ Adopt(h) \/ Close(h) \/ Elect(h) \/ Fence(h) \/ Lapse(h) \/ Restart(h)
  \/ \E m \in messages : Answer(m) \/ Receive(m)
  \/ \E e \in Epochs, i \in Incarnations : Reclaim(e, i)

Spec == Init /\ [][Next]_vars

Usable == [h \in Hosts |-> IF lapsed[h] THEN 0 ELSE share[h]]
Grantable == [e \in Epochs |-> IF IsActing(e) THEN pool[e] ELSE 0]

NeverAboveTotal == Sum(Usable, Hosts) + Sum(Grantable, Epochs) <= Total
=============================================================================
