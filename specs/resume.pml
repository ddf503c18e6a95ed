/*
 * Delivery of an event stream to its caller when attempts are interrupted, abandoned and resumed at other endpoints.
 *
 * An attempt sends its events in order from a given start position. It may be interrupted after any event or in the middle
 * of one. The entry may abandon an attempt that still runs at its endpoint, whose events then continue to arrive. An
 * interrupted or abandoned attempt is followed by another one that begins after the last complete event, as long as
 * attempts remain.
 *
 * Safety: no event is delivered twice or omitted, no partial event is delivered, and a truncated answer never ends as a
 * complete one. Guards and the code that implements them:
 *   old attempts ignored     forwarding/answer-relay.ts, isCurrent()
 *   whole events only        forwarding/event-splitter.ts, add()
 *   resumed after the last   forwarding/call-run.ts, Delivery.lastEventId
 *   ends are checked         forwarding/answer-relay.ts, isWhole()
 */
#define EVENTS 2
#define ATTEMPTS 3
#define HALF 0
#define CUT 254
#define END 255

/* Messages of an attempt: attempt number, and an event position, HALF (a partial event), CUT or END. */
chan answers = [4] of { byte, byte };

byte delivered = 0;
bool hasHalf = false;
bool isOver = false;

proctype Attempt (byte number; byte first) {
  byte position = first;
  do
  :: position <= EVENTS -> answers!number, position; position++
  :: position <= EVENTS -> answers!number, HALF; answers!number, CUT; break
  :: position <= EVENTS -> answers!number, CUT; break
  :: position > EVENTS -> answers!number, END; break
  od
}

inline startNext () {
  if
  :: current < ATTEMPTS ->
     current++;
#ifdef MUTANT_RESUME_FROM_START
     run Attempt(current, 1)
#else
     run Attempt(current, delivered + 1)
#endif
  :: else -> isOver = true
  fi
}

inline deliver (position) {
  assert(!hasHalf);
  assert(position == delivered + 1);
  delivered = position
}

active proctype Entry () {
  byte current = 1;
  byte sender;
  byte message;
  run Attempt(1, 1);
end:
  do
  :: answers?sender, message ->
     if
     :: isOver -> skip
#ifdef MUTANT_ACCEPT_OLD_ATTEMPT
     :: !isOver ->
#else
     :: !isOver && sender != current -> skip
     :: !isOver && sender == current ->
#endif
        if
        :: message == HALF ->
#ifdef MUTANT_DELIVER_HALF
           hasHalf = true
#else
           skip
#endif
        :: message == CUT ->
#ifdef MUTANT_CUT_ENDS_WHOLE
           assert(delivered == EVENTS); isOver = true
#else
           startNext()
#endif
        :: message == END -> assert(delivered == EVENTS); isOver = true
        :: else -> deliver(message)
        fi
     fi
  /* The stream has made no progress within the timeout. */
  :: !isOver && current < ATTEMPTS -> startNext()
  od
}
