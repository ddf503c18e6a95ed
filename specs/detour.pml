/*
 * The path of a running stream, and the path that its entry assumes, while orders change the part of the path behind the
 * first endpoint.
 *
 * An order names the call and is sent to the first endpoint of its path. It is executed and answered, refused, or not
 * answered; an order without an answer was lost, was executed, or is executed late. The answer is delayed, and meanwhile
 * the entry may abandon the path for another attempt, which begins at another first endpoint.
 *
 * Safety: the path that the entry assumes is the path in use, unless an order to the current attempt is still unanswered,
 * or got no answer and no further attempt was available. The entry accounts for the memory use, progress and silence of
 * endpoints by the assumed path.
 * Guards and the code that implements them:
 *   an old answer changes nothing   forwarding/stream-failover.ts, changePath(): the placement is still the one before
 *   no answer ends the attempt      forwarding/stream-failover.ts, rerouteAround(): PathChangeResult.callUnknown
 *   another first endpoint          forwarding/call-run.ts, handleEnd(): AttemptHistory.triedEndpointIds
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

/* The part of the path behind each first endpoint, as that endpoint has it. */
byte path[ATTEMPTS + 1] = 1;

byte current = 1;
byte belief = 1;
byte asked = 0;
bool isChanging = false;
bool isUnsure = false;

/* Orders that are executed late: first endpoint, part. */
chan late = [ORDERS] of { byte, byte };
/* Answers in flight to the entry: attempt, part, result. */
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
  /* The stream has made no progress within the timeout. */
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
