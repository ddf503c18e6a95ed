/*
 * Acceptance and replication of the configuration.
 *
 * Two operators confirm conflicting plans that were made from the same revision. Each may confirm twice because the answer
 * to a write was lost. Two replicas receive snapshots late, duplicated and out of order.
 *
 * Safety: at most one of the plans is applied, and at most once; a replica never returns to an older revision; an accepted
 * plan is never lost.
 */
#define NONE 255

/* The store object. Its version is the revision of the configuration. */
byte revision = 1;
bool inHistory[2];
byte applied[2];
bool accepted[2];
bool isRefused[2];

chan spread[2] = [3] of { byte };

proctype Operator (byte plan) {
  byte attempts = 0, seen;
  bool isKnown, isTouched;
  do
  :: attempts < 2 ->
     attempts++;
     /* Reads the object with its history of changes. */
     atomic { seen = revision; isKnown = inHistory[plan]; isTouched = inHistory[1 - plan] };
#ifdef MUTANT_NO_READ_BACK
     isKnown = false;
#endif
     if
     :: isKnown -> accepted[plan] = true; break
     :: !isKnown && isTouched ->
#ifdef MUTANT_NO_CONFLICT_CHECK
        goto write
#else
        isRefused[plan] = true; break
#endif
     :: !isKnown && !isTouched ->
write:
        atomic {
#ifdef MUTANT_UNCONDITIONAL_WRITE
          if
          :: true ->
#else
          if
          :: revision == seen ->
#endif
             revision++; applied[plan]++; inHistory[plan] = true;
             if :: nfull(spread[0]) -> spread[0] ! revision :: else -> skip fi;
             if :: nfull(spread[1]) -> spread[1] ! revision :: else -> skip fi;
             seen = NONE
          :: else -> skip
          fi
        };
        if
        :: seen == NONE -> accepted[plan] = true; break
        :: seen == NONE -> skip                 /* the answer is lost: confirms again */
        :: seen != NONE -> skip                 /* conflict: reads again */
        fi
     fi
  :: attempts == 2 -> break
  od
}

proctype Replica (byte id) {
  byte held = 1, received;
end:
  do
  :: atomic { spread[id] ? received ->
#ifdef MUTANT_APPLY_ANY
       if
       :: true ->
#else
       if
       :: received > held ->
#endif
          assert(received >= held); held = received
       :: else -> skip
       fi }
  :: atomic { spread[id] ? [received] && nfull(spread[id]) -> spread[id] ? <received>; spread[id] ! received }   /* duplicate */
  :: atomic { nfull(spread[id]) -> received = revision; spread[id] ! received; spread[id] ? received; spread[id] ! received }  /* from a peer */
  od
}

active proctype Monitor () {
end:
  atomic {
    (applied[0] + applied[1] > 1) || (accepted[0] && !inHistory[0]) || (accepted[1] && !inHistory[1]) -> assert(false)
  }
}

init {
  atomic { run Operator(0); run Operator(1); run Replica(0); run Replica(1) }
}
