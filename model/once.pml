/* At-most-once execution for one idempotency key. Three incarnations of agents can
 * execute it: 0 and 1 share an instance (1 replaces 0, which may be paused and continue
 * later), and 2 is another instance. A caller sends attempts through any entry to any
 * incarnation.
 *
 * An append takes effect at any time after it was sent, or never, and its response is
 * not used. An incarnation reads the log in order, at any time.
 */
#define AGENTS 3
#define ATTEMPTS 3
#define NONE   9

#define INSTANCE(a) ((a) < 2 -> 0 : 1)

/* The states of an attempt at its agent. */
#define UNSEEN   0
#define WAITING  1   /* the append of its intent was sent */
#define DECIDED  2   /* it will be forwarded */
#define EXECUTED 3
#define REFUSED  4

byte state[ATTEMPTS];
byte agent[ATTEMPTS];        /* the incarnation that each attempt was sent to */
bool sent[ATTEMPTS];
bool delivered[ATTEMPTS];
bool reportedNotRun[ATTEMPTS];
byte executions;
bool executed[ATTEMPTS];

byte log[8];                 /* the incarnation that each record names */
byte length;
byte pendingAppends[AGENTS]; /* appends sent and not yet in effect */
byte recordsRead[AGENTS];
byte owner[AGENTS];          /* the owner of the key as read, or NONE */
byte attemptOfKey[AGENTS];   /* the attempt that executes the key here, plus one; 0 is none */
bool started[AGENTS];        /* whether each incarnation has started */

#ifdef MUTANT_INSTANCE_OWNS
#define OWNS(a) (owner[a] != NONE && INSTANCE(owner[a]) == INSTANCE(a))
#else
#define OWNS(a) (owner[a] == a)
#endif

inline decide(t, a) {
  /* Called when a has read an owner of the key. */
  if
  :: OWNS(a) && attemptOfKey[a] == 0 -> attemptOfKey[a] = t+1; state[t] = DECIDED
  :: OWNS(a) && attemptOfKey[a] != 0 -> state[t] = REFUSED   /* the response of that attempt is used for both */
  :: else -> state[t] = REFUSED                      /* another incarnation owns the key: "moved" or "unknown" */
  fi
}

inline readRecord(a) {
  atomic {
    if
#ifdef MUTANT_LAST_WRITER
    :: true -> owner[a] = log[recordsRead[a]]
#else
    :: owner[a] == NONE -> owner[a] = log[recordsRead[a]]
    :: else -> skip
#endif
    fi;
    recordsRead[a]++
  }
}

proctype agents(byte a) {
  byte t;
end:
  do
  :: atomic { !started[a] && (a != 1 || started[0]) -> started[a] = true }

  /* An attempt arrives. */
  :: atomic { started[a] && sent[0] && !delivered[0] && agent[0] == a -> t = 0 } goto submitted
  :: atomic { started[a] && sent[1] && !delivered[1] && agent[1] == a -> t = 1 } goto submitted
  :: atomic { started[a] && sent[2] && !delivered[2] && agent[2] == a -> t = 2 } goto submitted

  /* An append takes effect with a delay, or never. */
  :: atomic { pendingAppends[a] > 0 && length < 8 -> log[length] = a; length++; pendingAppends[a]-- }
  :: atomic { pendingAppends[a] > 0 -> pendingAppends[a]-- }

  /* Reads a record. */
  :: started[a] && recordsRead[a] < length -> readRecord(a)

  /* Decides waiting attempts by the records read. */
#ifdef MUTANT_NO_READ_BACK
  :: atomic { state[0] == WAITING && agent[0] == a -> attemptOfKey[a] = 1; state[0] = DECIDED }
  :: atomic { state[1] == WAITING && agent[1] == a -> attemptOfKey[a] = 2; state[1] = DECIDED }
  :: atomic { state[2] == WAITING && agent[2] == a -> attemptOfKey[a] = 3; state[2] = DECIDED }
#else
  :: atomic { state[0] == WAITING && agent[0] == a && owner[a] != NONE -> decide(0, a) }
  :: atomic { state[1] == WAITING && agent[1] == a && owner[a] != NONE -> decide(1, a) }
  :: atomic { state[2] == WAITING && agent[2] == a && owner[a] != NONE -> decide(2, a) }
#endif

  /* Gives up waiting: the attempt was not forwarded and will not be. */
#ifdef MUTANT_GIVE_UP_STILL_RUNS
#define GIVEN_UP WAITING
#else
#define GIVEN_UP REFUSED
#endif
  :: atomic { state[0] == WAITING && agent[0] == a -> state[0] = GIVEN_UP; reportedNotRun[0] = true }
  :: atomic { state[1] == WAITING && agent[1] == a -> state[1] = GIVEN_UP; reportedNotRun[1] = true }
  :: atomic { state[2] == WAITING && agent[2] == a -> state[2] = GIVEN_UP; reportedNotRun[2] = true }

  /* Forwards an attempt, possibly after a long pause. */
  :: atomic { state[0] == DECIDED && agent[0] == a -> state[0] = EXECUTED; executions++; executed[0] = true }
  :: atomic { state[1] == DECIDED && agent[1] == a -> state[1] = EXECUTED; executions++; executed[1] = true }
  :: atomic { state[2] == DECIDED && agent[2] == a -> state[2] = EXECUTED; executions++; executed[2] = true }

  /* The entry lost the link and queries the attempt: an attempt that never arrived is
   * refused permanently. */
  :: atomic { started[a] && sent[0] && agent[0] == a && state[0] == UNSEEN -> t = 0 } goto queried
  :: atomic { started[a] && sent[1] && agent[1] == a && state[1] == UNSEEN -> t = 1 } goto queried
  :: atomic { started[a] && sent[2] && agent[2] == a && state[2] == UNSEEN -> t = 2 } goto queried
  od;

submitted:
  atomic {
    delivered[t] = true;
    if
    :: state[t] != UNSEEN -> skip
    :: state[t] == UNSEEN && owner[a] != NONE -> decide(t, a)
    :: state[t] == UNSEEN && owner[a] == NONE -> state[t] = WAITING; pendingAppends[a]++
    fi;
    t = 0
  }
  goto end;

queried:
  atomic {
    if
    :: state[t] == UNSEEN ->
       reportedNotRun[t] = true;
#ifndef MUTANT_NO_TOMBSTONE
       state[t] = REFUSED
#endif
    :: else -> skip
    fi;
    t = 0
  }
  goto end
}

/* The caller sends attempts through any entry, regardless of the responses. */
proctype caller() {
  byte t;
end:
  do
  :: t < ATTEMPTS ->
    atomic {
      if :: agent[t] = 0 :: agent[t] = 1 :: agent[t] = 2 fi;
      sent[t] = true; t++
    }
  od
}

/* Checks in every state that the key was executed at most once. */
active proctype atMostOnce() {
end:
  atomic { executions > 1 -> assert(false) }
}

/* Checks in every state that no attempt was executed that was reported as not run. */
active proctype reportsAreTrue() {
end:
  atomic { (reportedNotRun[0] && executed[0]) || (reportedNotRun[1] && executed[1]) || (reportedNotRun[2] && executed[2]) -> assert(false) }
}

init {
  atomic {
    owner[0] = NONE; owner[1] = NONE; owner[2] = NONE;
    run agents(0); run agents(1); run agents(2); run caller()
  }
}
