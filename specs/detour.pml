/*
 * Where a running stream goes, and where its entry believes that it goes, when the path behind its first endpoint is
 * changed by orders.
 *
 * An order names the call and goes to the first endpoint of its path. It is carried out and answered, refused, or left
 * without an answer; then it was lost, was carried out, or is carried out late. Its answer takes time, in which the
 * entry may leave the path for another attempt, which begins at another first endpoint.
 *
 * Never: the entry believes in another path than the one in use, unless an order to that very attempt has no answer yet,
 * or has got none and there was no other path to go on over. Room, progress and silence of endpoints are charged by
 * that belief. Guards and the lines that hold them:
 *   an old answer changes nothing   forwarding/stream-rescue.ts, changePath(): the placement is still the one before
 *   no answer ends the attempt      forwarding/stream-rescue.ts, rerouteAround(): PathChange.callUnknown
 *   another first endpoint          forwarding/call-run.ts, releasePlace(): AttemptHistory.tried
 */
#define PARTS 3
#define ATTEMPTS 3
#define ORDERS 3
#define DONE 1
#define REFUSED 2
#define UNANSWERED 3

#ifdef MUTANT_SAME_FIRST_AGAIN
#define FIRST(attempt) 1
#else
#define FIRST(attempt) attempt
#endif

/* The part behind each first endpoint, as the endpoint has it. */
byte path[ATTEMPTS + 1] = 1;

byte current = 1;
byte belief = 1;
byte asked = 0;
bool isChanging = false;
bool isUnsure = false;

/* Orders that are carried out late: first endpoint, part. */
chan late = [ORDERS] of { byte, byte };
/* Answers on their way to the entry: attempt, part, result. */
chan results = [ORDERS] of { byte, byte, byte };

proctype Endpoints () {
  byte first, part;
end:
  do
  :: atomic { late ? first, part -> path[first] = part }
  od
}

inline choosePart (part) {
  if
  :: part = 1
  :: part = 2
  :: part = 3
  fi
}

inline startNext () {
  current++;
  choosePart(belief);
  path[FIRST(current)] = belief;
  isUnsure = false
}

proctype Entry () {
  byte orders = 0, part, attempt, result;
end:
  do
  :: atomic { !isChanging && orders < ORDERS ->
       orders++;
       isChanging = true;
       asked = current;
       choosePart(part);
       if
       :: path[FIRST(current)] = part; results ! current, part, DONE
       :: results ! current, part, REFUSED
       :: path[FIRST(current)] = part; results ! current, part, UNANSWERED
       :: late ! FIRST(current), part; results ! current, part, UNANSWERED
       :: results ! current, part, UNANSWERED
       fi
     }
  /* The stream stands still too long. */
  :: atomic { current < ATTEMPTS -> startNext() }
  :: atomic { results ? attempt, part, result ->
       isChanging = false;
       if
#ifdef MUTANT_APPLY_OLD_RESULT
       :: true ->
#else
       :: attempt != current -> skip
       :: attempt == current ->
#endif
          if
          :: result == DONE -> belief = part
          :: result == REFUSED -> skip
#ifdef MUTANT_KEEP_UNANSWERED
          :: result == UNANSWERED -> skip
#else
          :: result == UNANSWERED && current < ATTEMPTS -> startNext()
          :: result == UNANSWERED -> isUnsure = true
#endif
          fi
       fi
     }
  od
}

proctype Monitor () {
end:
  do
  :: atomic { assert(isUnsure || (isChanging && asked == current) || belief == path[FIRST(current)]) }
  od
}

init {
  atomic { run Endpoints(); run Entry(); run Monitor() }
}
