/*
 * Claims on one idempotency key by the sidecars of a plain service.
 *
 * Two workers share one store object. A worker may pause at any step, may crash and restart as a new incarnation, and may
 * time out on the store while its write is still in flight. Callers send the same key to either worker.
 *
 * Safety: the key is executed at most once, and a call that was answered "not run" is never executed.
 */
#define MAX_INCARNATIONS 4
#define MAX_CALLS 3
#define NONE 0

/* The store object of the key range. */
byte version = 1;
byte claimedBy = NONE;

/* History for the safety check. */
byte runs = 0;
bool ran[MAX_CALLS];
bool toldNotRun[MAX_CALLS];

byte incarnations = 0;
byte calls = 0;

/* At most one write in flight from each worker: expected version and incarnation. */
chan writes[2] = [1] of { byte, byte };
chan answers[2] = [1] of { bool };

proctype Store (byte worker) {
  byte expected, by;
end:
  do
  :: atomic { writes[worker] ? expected, by ->
#ifdef MUTANT_UNCONDITIONAL_WRITE
       version++; claimedBy = by; answers[worker] ! true;
#else
       if
       :: version == expected -> version++; claimedBy = by; answers[worker] ! true
       :: else -> answers[worker] ! false
       fi;
#endif
       expected = 0; by = 0
     }
  od
}

proctype Worker (byte id) {
  byte me, call, seenVersion, seenClaim;
  bool held, started, isGranted, isFree;
restart:
  atomic {
    if
    :: incarnations < MAX_INCARNATIONS -> incarnations++; me = incarnations; held = false; started = false
    :: else -> goto done
    fi
  }
  do
  :: atomic { calls < MAX_CALLS -> call = calls; calls++; isGranted = false };
     /* A repeated key that was started here is answered from the gate's own record. */
     if
     :: started -> skip
     :: else ->
        atomic { if :: !held -> seenVersion = version; seenClaim = claimedBy :: else -> skip fi };
        atomic {
          isFree = (seenClaim == NONE || (seenClaim == me && !held && !started));
#ifdef MUTANT_FORGET_OTHERS
          isFree = (seenClaim != me);
#endif
        };
        if
        :: !isFree -> skip                     /* answered "unknown", or with the stored answer */
        :: atomic { isFree && nfull(writes[id]) ->
             /* Drops the late answer to a write that timed out, so that it is not taken for the answer to this write. */
             do :: answers[id] ? _ -> skip :: empty(answers[id]) -> break od;
             writes[id] ! seenVersion, me };
           if
           :: atomic { answers[id] ? isGranted ->
                if
                :: isGranted -> held = true; seenVersion++; seenClaim = me
                :: else -> held = false; toldNotRun[call] = true
                fi }
           :: /* The store times out. */
              held = false;
#ifdef MUTANT_RUN_ON_TIMEOUT
              isGranted = true
#else
              toldNotRun[call] = true
#endif
           fi;
           if
           :: isGranted ->
              /* A pause here is safe: no other incarnation can claim the key. */
              atomic { runs++; ran[call] = true; started = true }
           :: else -> skip
           fi
        :: isFree && full(writes[id]) -> toldNotRun[call] = true
        fi
     fi
  :: atomic { incarnations < MAX_INCARNATIONS -> goto restart }   /* crash */
  :: atomic { calls == MAX_CALLS -> break }
  od;
done:
  skip
}

/* The entry gets no answer to its call; it asks the same incarnation for the outcome. */
bool callStarted, callTombstoned, callRan, entryToldNotRun, callArrived;

proctype Gate () {
  do
  :: atomic { !callArrived ->
       callArrived = true;
#ifndef MUTANT_NO_TOMBSTONE
       if :: callTombstoned -> goto done :: else -> skip fi;
#endif
       callStarted = true };
     callRan = true; goto done
  od;
done:
  skip
}

proctype Entry () {
  /* The call has timed out. */
  atomic {
    if
    :: callStarted -> skip                    /* waits for the answer */
    :: else -> callTombstoned = true; entryToldNotRun = true
    fi
  }
}

init {
  atomic { run Store(0); run Store(1); run Worker(0); run Worker(1); run Gate(); run Entry() }
}

active proctype Monitor () {
end:
  atomic {
    !(runs <= 1) || (ran[0] && toldNotRun[0]) || (ran[1] && toldNotRun[1]) || (ran[2] && toldNotRun[2]) ||
    (callRan && entryToldNotRun) -> assert(false)
  }
}
