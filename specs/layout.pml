/*
 * Concurrent changes of the layer layout, and convergence of an endpoint to the layout.
 *
 * Two lease holders each read the layout, may be paused at any step, and write it. A sidecar orders its endpoint to load
 * the layers of the layout. An order is executed immediately, late and after newer orders, or never. The endpoint may
 * restart empty; it has then lost its fencing state.
 *
 * Safety: a layout never overwrites one that its writer has not read, and an endpoint never returns to an older layout
 * without a restart. Convergence: when no order is in flight any more, the endpoint holds the layers of the layout.
 */
#define ROUNDS 3

byte revision = 1;
byte holdersDone = 0;

/* The endpoint. */
byte holds = 0;
byte fence = 0;
byte sequence = 0;
bool hasRestarted = false;

/* Orders that are executed late: fencing token, number of orders expected before it. */
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
  /* The holder may be paused here while the other holder writes. */
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
  /* Quiescence: both holders are done, no order is in flight, and the endpoint has restarted. */
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
