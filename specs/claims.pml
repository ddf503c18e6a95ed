/*
 * Claims on one idempotency key by the sidecars of a plain service.
 *
 * Two workers share one store object. A worker may pause anywhere, may crash and come back as a new incarnation, and
 * may stop waiting for the store while its write is still on the way. Callers send the same key to either worker.
 *
 * Never: the key runs twice, or a call that was answered "not run" runs.
 */
#define MAX_INCARNATIONS 4
#define MAX_CALLS 3
#define NONE 0

/* The store object of the key range. */
byte version = 1;
byte claimedBy = NONE;

/* What happened. */
byte runs = 0;
bool ran[MAX_CALLS];
bool toldNotRun[MAX_CALLS];

byte incarnations = 0;
byte calls = 0;

/* One write on the way from each worker: expected version and incarnation. */
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
     /* The gate's own record answers a repeat of a key that was started here. */
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
        :: !isFree -> skip                     /* answered "unknown", or with the answer that was kept */
        :: atomic { isFree && nfull(writes[id]) ->
             /* The answer to a write that was given up belongs to no later write. */
             do :: answers[id] ? _ -> skip :: empty(answers[id]) -> break od;
             writes[id] ! seenVersion, me };
           if
           :: atomic { answers[id] ? isGranted ->
                if
                :: isGranted -> held = true; seenVersion++; seenClaim = me
                :: else -> held = false; toldNotRun[call] = true
                fi }
           :: /* The store does not answer in time. */
              held = false;
#ifdef MUTANT_RUN_ON_TIMEOUT
              isGranted = true
#else
              toldNotRun[call] = true
#endif
           fi;
           if
           :: isGranted ->
              /* A pause here is harmless: nobody else can claim the key. */
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

/* The entry's call to a worker is lost; the entry asks the same incarnation what became of it. */
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
  /* No answer within the time limit. */
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
