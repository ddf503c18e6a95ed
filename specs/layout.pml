/*
 * Who changes the layout of layers, and what an endpoint holds in the end.
 *
 * Two holders of the lease each read the layout, may be paused anywhere, and write. A sidecar orders its endpoint to hold
 * what the layout says; an order is carried out at once, late and after newer ones, or never. The endpoint may start anew,
 * empty, and knows no fences then.
 *
 * Never: a layout is written over one that its writer has not read, or an endpoint goes back to an older layout while it
 * lives. In the end, with no order on its way, it holds what the layout says.
 */
#define ROUNDS 3

byte revision = 1;
byte holdersDone = 0;

/* The endpoint. */
byte holds = 0;
byte fence = 0;
byte sequence = 0;
bool hasRestarted = false;

/* Orders that are carried out late: fencing number, orders expected before it. */
chan late = [2] of { byte, byte };

inline execute (number, expected) {
  if
#ifdef MUTANT_NO_ORDER_GUARDS
  :: true ->
#else
  :: number >= fence && expected == sequence ->
#endif
     assert(number >= holds);
     if :: number > fence -> fence = number :: else -> skip fi;
     holds = number; sequence++
#ifndef MUTANT_NO_ORDER_GUARDS
  :: else -> skip
#endif
  fi
}

proctype Holder () {
  byte seen;
  seen = revision;
  /* Any pause may come here; another holder may have written meanwhile. */
  atomic {
    if
#ifdef MUTANT_UNCONDITIONAL_WRITE
    :: true ->
#else
    :: seen == revision ->
#endif
       assert(seen == revision); revision = seen + 1
#ifndef MUTANT_UNCONDITIONAL_WRITE
    :: else -> skip
#endif
    fi;
    holdersDone++
  }
}

proctype Endpoint () {
  byte number, expected;
end:
  do
  :: atomic { late ? number, expected -> execute(number, expected) }
  :: atomic { !hasRestarted -> hasRestarted = true; holds = 0; fence = 0; sequence = 0 }
  od
}

proctype Sidecar () {
  byte rounds = 0, target = 0, seenHolds = 0, seenSequence = 0;
  do
  :: rounds < ROUNDS ->
     rounds++;
     atomic { target = revision };
     atomic { seenHolds = holds; seenSequence = sequence };
     if
     :: seenHolds != target ->
        if
        :: atomic { execute(target, seenSequence); seenHolds = target }
        :: atomic { nfull(late) -> late ! target, seenSequence; seenHolds = target }
        :: seenHolds = target                                 /* the order is lost */
        fi
     :: else -> skip
     fi
  :: rounds == ROUNDS -> break
  od;
  /* Quiet: no holder writes, no order is on its way, the endpoint has had its restart. */
  atomic {
    (holdersDone == 2 && empty(late) && hasRestarted) ->
#ifndef MUTANT_NO_READ_BACK
    seenHolds = holds;
#endif
    seenSequence = sequence;
    if
    :: seenHolds != revision -> execute(revision, seenSequence)
    :: else -> skip
    fi;
    assert(holds == revision)
  }
}

init {
  atomic { run Holder(); run Holder(); run Endpoint(); run Sidecar() }
}
