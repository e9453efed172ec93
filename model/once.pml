/* At most once for one idempotency key. Three agent incarnations may run it: 0
 * and 1 share an instance (1 replaces 0, which may be paused and go on later),
 * 2 is another instance. A caller tries through any entry, to any of them.
 *
 * An append takes effect at any time after it was sent, or never, and its
 * answer is not used. An incarnation reads the log in order, at any time.
 */
#define AGENTS 3
#define TRIES  3
#define NONE   9

#define INSTANCE(a) ((a) < 2 -> 0 : 1)

/* where a try stands at its agent */
#define UNSEEN   0
#define WAITING  1   /* its intent was sent */
#define DECIDED  2   /* it will be forwarded */
#define RAN      3
#define REFUSED  4

byte state[TRIES];
byte agent[TRIES];       /* where each try was sent */
bool sent[TRIES];
bool delivered[TRIES];
bool saidNotRun[TRIES];
byte runs;
bool ranTry[TRIES];

byte log[8];             /* the incarnation that each record names */
byte length;
byte pending[AGENTS];    /* appends sent and not yet in effect */
byte read[AGENTS];       /* records read */
byte owner[AGENTS];      /* the key's owner as read, or NONE */
byte mine[AGENTS];       /* the try that runs the key here, plus one */
bool running[AGENTS];    /* the incarnation has started */

#ifdef MUTANT_INSTANCE_OWNS
#define OWNS(a) (owner[a] != NONE && INSTANCE(owner[a]) == INSTANCE(a))
#else
#define OWNS(a) (owner[a] == a)
#endif

inline settle(t, a) {
  /* the key has an owner as read by a */
  if
  :: OWNS(a) && mine[a] == 0 -> mine[a] = t+1; state[t] = DECIDED
  :: OWNS(a) && mine[a] != 0 -> state[t] = REFUSED   /* shares the answer */
  :: else -> state[t] = REFUSED                      /* moved or unknown */
  fi
}

inline readOne(a) {
  atomic {
    if
#ifdef MUTANT_LAST_WRITER
    :: true -> owner[a] = log[read[a]]
#else
    :: owner[a] == NONE -> owner[a] = log[read[a]]
    :: else -> skip
#endif
    fi;
    read[a]++
  }
}

proctype agents(byte a) {
  byte t;
end:
  do
  :: atomic { !running[a] && (a != 1 || running[0]) -> running[a] = true }

  /* a submission arrives; an agent that has not read the log refuses */
  :: atomic { running[a] && sent[0] && !delivered[0] && agent[0] == a -> t = 0 } goto submitted
  :: atomic { running[a] && sent[1] && !delivered[1] && agent[1] == a -> t = 1 } goto submitted
  :: atomic { running[a] && sent[2] && !delivered[2] && agent[2] == a -> t = 2 } goto submitted

  /* an append takes effect, late or not at all */
  :: atomic { pending[a] > 0 && length < 8 -> log[length] = a; length++; pending[a]-- }
  :: atomic { pending[a] > 0 -> pending[a]-- }

  /* read */
  :: running[a] && read[a] < length -> readOne(a)

  /* decide tries that wait, from what was read */
#ifdef MUTANT_NO_READ_BACK
  :: atomic { state[0] == WAITING && agent[0] == a -> mine[a] = 1; state[0] = DECIDED }
  :: atomic { state[1] == WAITING && agent[1] == a -> mine[a] = 2; state[1] = DECIDED }
  :: atomic { state[2] == WAITING && agent[2] == a -> mine[a] = 3; state[2] = DECIDED }
#else
  :: atomic { state[0] == WAITING && agent[0] == a && owner[a] != NONE -> settle(0, a) }
  :: atomic { state[1] == WAITING && agent[1] == a && owner[a] != NONE -> settle(1, a) }
  :: atomic { state[2] == WAITING && agent[2] == a && owner[a] != NONE -> settle(2, a) }
#endif

  /* give up waiting: nothing was forwarded and nothing will be */
#ifdef MUTANT_GIVE_UP_STILL_RUNS
#define GIVEN_UP WAITING
#else
#define GIVEN_UP REFUSED
#endif
  :: atomic { state[0] == WAITING && agent[0] == a -> state[0] = GIVEN_UP; saidNotRun[0] = true }
  :: atomic { state[1] == WAITING && agent[1] == a -> state[1] = GIVEN_UP; saidNotRun[1] = true }
  :: atomic { state[2] == WAITING && agent[2] == a -> state[2] = GIVEN_UP; saidNotRun[2] = true }

  /* forward, perhaps after a long pause */
  :: atomic { state[0] == DECIDED && agent[0] == a -> state[0] = RAN; runs++; ranTry[0] = true }
  :: atomic { state[1] == DECIDED && agent[1] == a -> state[1] = RAN; runs++; ranTry[1] = true }
  :: atomic { state[2] == DECIDED && agent[2] == a -> state[2] = RAN; runs++; ranTry[2] = true }

  /* the entry lost the link and asks: a try never seen is refused for good */
  :: atomic { running[a] && sent[0] && agent[0] == a && state[0] == UNSEEN -> t = 0 } goto asked
  :: atomic { running[a] && sent[1] && agent[1] == a && state[1] == UNSEEN -> t = 1 } goto asked
  :: atomic { running[a] && sent[2] && agent[2] == a && state[2] == UNSEEN -> t = 2 } goto asked
  od;

submitted:
  atomic {
    delivered[t] = true;
    if
    :: state[t] != UNSEEN -> skip
    :: state[t] == UNSEEN && owner[a] != NONE -> settle(t, a)
    :: state[t] == UNSEEN && owner[a] == NONE -> state[t] = WAITING; pending[a]++
    fi;
    t = 0
  }
  goto end;

asked:
  atomic {
    if
    :: state[t] == UNSEEN ->
       saidNotRun[t] = true;
#ifndef MUTANT_NO_TOMBSTONE
       state[t] = REFUSED
#endif
    :: else -> skip
    fi;
    t = 0
  }
  goto end
}

/* The caller tries again and again, through any entry, whatever it was told. */
proctype caller() {
  byte t;
end:
  do
  :: t < TRIES ->
    atomic {
      if :: agent[t] = 0 :: agent[t] = 1 :: agent[t] = 2 fi;
      sent[t] = true; t++
    }
  od
}

/* Checked in every state. */
active proctype invariant() {
end:
  atomic { runs > 1 -> assert(false) }
}

active proctype truthful() {
end:
  atomic { (saidNotRun[0] && ranTry[0]) || (saidNotRun[1] && ranTry[1]) || (saidNotRun[2] && ranTry[2]) -> assert(false) }
}

init {
  atomic {
    owner[0] = NONE; owner[1] = NONE; owner[2] = NONE;
    run agents(0); run agents(1); run agents(2); run caller()
  }
}
