/*
 * A request over two stages whose first stage is replaced although the old instance is only paused, not stopped.
 *
 * The old first stage may send its outputs at any time, also after its replacement, and messages may be duplicated. The
 * second stage survives. It must accept each position exactly once and in order, and nothing from the old attempt after it
 * has joined the new one. Later the second stage is replaced as well; the entry must deliver each token exactly once and
 * in order.
 */
#define POSITIONS 3
#define OLD 1
#define NEW 2

/* Outputs of the first stage: attempt, position. */
chan fromOld = [POSITIONS] of { byte, byte };
chan fromNew = [POSITIONS] of { byte, byte };
chan fromEntry = [1] of { byte };
chan status = [1] of { byte };
/* Tokens of the last stage: stage instance, position. */
chan tokens = [4] of { byte, byte };

byte accepted[POSITIONS];
byte delivered = 0;
bool isReplayed = false;

proctype OldStage () {
  byte position = 0;
  do
  :: position < POSITIONS -> fromOld ! OLD, position; if :: position++ :: skip; break fi
  :: position == POSITIONS -> break
  od
}

proctype NewStage (byte from) {
  byte position = from;
  do
  :: position < POSITIONS -> fromNew ! NEW, position; position++
  :: position == POSITIONS -> break
  od
}

proctype Survivor () {
  byte current = OLD, acceptedTo = 0, attempt, position;
  bool isNew;
end:
  do
  :: atomic { fromEntry ? attempt -> current = attempt; status ! acceptedTo }
  :: atomic {
       if
       :: fromOld ? attempt, position
       :: fromNew ? attempt, position
       fi;
       isNew = true;
#ifndef MUTANT_ACCEPT_OLD_ATTEMPT
       if :: attempt < current -> isNew = false :: else -> skip fi;
#endif
#ifndef MUTANT_ACCEPT_REPEAT
       if :: position < acceptedTo -> isNew = false :: else -> skip fi;
#endif
       if
       :: isNew ->
          assert(attempt == current);
          assert(accepted[position] == 0);
          assert(position == acceptedTo);
          accepted[position]++;
          acceptedTo++;
          tokens ! 1, position
       :: else -> skip
       fi
     }
  od
}

/* Replaces the survivor later and runs all positions again. */
proctype Successor () {
  byte position = 0;
  isReplayed;
  do
  :: position < POSITIONS -> tokens ! 2, position; position++
  :: position == POSITIONS -> break
  od
}

proctype Entry () {
  byte acceptedTo, instance, position, last = 1;
  /* The old stage has exceeded the silence timeout. */
  fromEntry ! NEW;
  status ? acceptedTo;
#ifdef MUTANT_SKIP_ALIGNMENT
  run NewStage(acceptedTo + 1);
#else
  run NewStage(0);
#endif
end:
  do
  :: atomic { tokens ? instance, position ->
       if
#ifndef MUTANT_DELIVER_REPEAT
       :: position != delivered -> skip
#endif
       :: instance < last -> skip
       :: else ->
          assert(position == delivered);
          delivered++
       fi }
  :: atomic { !isReplayed -> isReplayed = true; last = 2 }
  od
}

init {
  atomic { run OldStage(); run Survivor(); run Entry(); run Successor() }
}
