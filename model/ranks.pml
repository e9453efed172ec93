/* The expert-map switch of one lock-step group: competing proposals, lost or delayed
 * messages, coordinators that crash after proposing to some of the ranks, and ranks
 * that restart.
 *
 * Each mutant removes one guard of control/rank.go.
 */
#define N     3   /* number of ranks */
#define PROPS 4   /* 0 and 1 switch the map of generation 1; 2 and 3 form later generations */
#ifndef LAST
#define LAST  3   /* number of steps that a rank runs in a generation */
#endif

#ifdef MUTANT_ARM_LATE
#define BEFORE(r, p) (true)
#else
#define BEFORE(r, p) (step[r] < at[p])
#endif

#ifdef MUTANT_SAME_GENERATION
#define LATER(p, b) (true)
#else
#define LATER(p, b) (generation[p] > generation[b])
#endif

#ifdef MUTANT_LATER_INCARNATION
#define NAMED(p, r) (true)
#else
#define NAMED(p, r) (namedIncarnation[(p)*N+(r)] == incarnation[r])
#endif

byte generation[PROPS];          /* generation of each proposal */
byte at[PROPS];                  /* step from which each proposal takes effect */
bool proposed[PROPS];
byte recipients[PROPS];          /* ranks that receive a switch, as a bit set; other ranks can
                                    only receive requests for their vote */
byte namedIncarnation[PROPS*N];  /* the incarnation of each rank that the proposal names */
byte vote[PROPS*N];              /* 0 none, 1 armed, 2 refused */

byte incarnation[N];
byte current[N];   /* generation of each rank; 0 is none */
byte step[N];      /* next step */
byte map[N];
byte open[N];      /* proposals that are armed and not resolved, as a bit set */
byte restarts;
byte usedMap[16];  /* map used at generation*4+step, plus one; 0 is none */

#define VOTE(p, q)     vote[(p)*N+(q)]
#define OPEN(r, p)     ((open[r] >> (p)) & 1)

/* The open proposal with the latest generation, or PROPS. */
#define TOP(r) (OPEN(r,3) && (!OPEN(r,2) || generation[3] >= generation[2]) -> 3 : \
               (OPEN(r,2) -> 2 : (OPEN(r,1) -> 1 : (OPEN(r,0) -> 0 : PROPS))))

#define MUST_HOLD(r) (current[r] == 0 || \
  (open[r] != 0 && (generation[TOP(r)] > current[r] || step[r] >= at[TOP(r)])))

#define IS_SWITCH(p) ((p) < 2)
#define MAY_ARM(r, p) ( \
  (IS_SWITCH(p) && generation[p] == current[r] && open[r] == 0 && BEFORE(r, p)) || \
  (!IS_SWITCH(p) && generation[p] > current[r] && \
    (!OPEN(r,2) || LATER(p, 2)) && (!OPEN(r,3) || LATER(p, 3))))

#define REFUSED(p) (VOTE(p,0) == 2 || VOTE(p,1) == 2 || VOTE(p,2) == 2)

#ifdef MUTANT_ONE_VOTE_UNREAD
#define ALL_ARMED(p) (VOTE(p,0) == 1 && VOTE(p,1) == 1)
#else
#define ALL_ARMED(p) (VOTE(p,0) == 1 && VOTE(p,1) == 1 && VOTE(p,2) == 1)
#endif

#define REACHABLE(r, p) (generation[p] > current[r] || step[r] >= at[p])

inline propose(p) {
  atomic {
    proposed[p] = true;
    namedIncarnation[p*N+0] = incarnation[0]; namedIncarnation[p*N+1] = incarnation[1];
    namedIncarnation[p*N+2] = incarnation[2];
  }
}

inline restart(r) {
  atomic {
    restarts++;
    incarnation[r]++;
#ifdef MUTANT_LATER_INCARNATION
    VOTE(0,r) = 0; VOTE(1,r) = 0; VOTE(2,r) = 0;  /* votes again in place of the earlier incarnation */
#endif
    current[r] = 0; step[r] = 0; map[r] = 0; open[r] = 0
  }
}

inline runStep(r) {
  atomic {
    assert(usedMap[current[r]*4+step[r]] == 0 || usedMap[current[r]*4+step[r]] == map[r]+1);
    usedMap[current[r]*4+step[r]] = map[r]+1;
    step[r]++
  }
}

inline adopt(r, p) {
  atomic {
    current[r] = generation[p]; step[r] = at[p]; map[r] = p+1; open[r] = 0
  }
}

inline castVote(x) {
  atomic { proposed[x] && ((recipients[x] >> r) & 1) && NAMED(x,r) && VOTE(x,r) == 0 ->
    if
    :: MAY_ARM(r, x) -> VOTE(x,r) = 1; open[r] = open[r] | (1 << x)
    :: else -> VOTE(x,r) = 2
    fi }
}

proctype rank(byte r) {
  byte p;
end:
  do
  /* Votes on a proposal, once. */
  :: castVote(0)
  :: castVote(1)
#if FORMATIONS > 0
  :: castVote(2)
#endif
#if FORMATIONS > 1
  :: castVote(3)
#endif

#ifndef MUTANT_NO_LAST_CALL
  /* A holding rank requests missing votes: a rank that has not voted refuses. */
  :: atomic { open[r] != 0 && MUST_HOLD(r) && VOTE(TOP(r),0) == 0 && NAMED(TOP(r),0) -> VOTE(TOP(r),0) = 2 }
  :: atomic { open[r] != 0 && MUST_HOLD(r) && VOTE(TOP(r),1) == 0 && NAMED(TOP(r),1) -> VOTE(TOP(r),1) = 2 }
  :: atomic { open[r] != 0 && MUST_HOLD(r) && VOTE(TOP(r),2) == 0 && NAMED(TOP(r),2) -> VOTE(TOP(r),2) = 2 }
#endif

#ifdef MUTANT_WITHDRAW
  :: atomic { open[r] != 0 && VOTE(TOP(r),r) == 1 -> p = TOP(r); VOTE(p,r) = 2; open[r] = open[r] & (255 - (1 << p)); p = 0 }
#endif

  /* Resolves the latest open proposal: drops it if a rank refused, or adopts it. */
  :: atomic { open[r] != 0 && REFUSED(TOP(r)) -> p = TOP(r); open[r] = open[r] & (255 - (1 << p)); p = 0 }
  :: atomic { open[r] != 0 && ALL_ARMED(TOP(r)) && REACHABLE(r, TOP(r)) -> p = TOP(r); adopt(r, p); p = 0 }

#ifdef MUTANT_SAME_GENERATION
  /* Without an order of generations, the proposal armed last is resolved first. */
  :: atomic { OPEN(r,2) && ALL_ARMED(2) && REACHABLE(r,2) -> p = 2; adopt(r, p); p = 0 }
#endif

  /* Runs a step. */
  :: atomic { !MUST_HOLD(r) && step[r] < LAST -> runStep(r) }

  /* Restarts. */
  :: atomic { restarts < MAX_RESTARTS -> restart(r) }
  od
}

/* Proposes the formations; a formation names the current incarnations. The switches are
 * proposed from the start, since a rank may receive a proposal at any time or never. */
proctype coordinators() {
end:
  do
  :: false -> skip
#if FORMATIONS > 0
  :: !proposed[2] -> propose(2)
#endif
#if FORMATIONS > 1
  :: !proposed[3] -> propose(3)
#endif
  od
}

#define LIVE(p) (proposed[p] && NAMED(p,0) && NAMED(p,1) && NAMED(p,2))
#define DONE    (step[0] == LAST && step[1] == LAST && step[2] == LAST && \
                 current[0] == current[1] && current[1] == current[2])

/* Checks that a group without restarts has run all steps when no transition is enabled. */
proctype checkCompletion() {
end:
  timeout -> assert(restarts > 0 || DONE)
}

init {
  atomic {
    generation[0] = 1; generation[1] = 1;
    proposed[0] = true;
    recipients[0] = 7; recipients[1] = 7; recipients[2] = 7; recipients[3] = 7;
#if FORMATIONS == 0
    /* A coordinator may crash after any of its messages. */
    do :: recipients[0] > 0 -> recipients[0]-- :: break od;
    do :: recipients[1] > 0 -> recipients[1]-- :: break od;
#endif
#if SWITCHES > 1
    proposed[1] = true;
#endif
    at[0] = 1;
    if :: at[1] = 1 :: LAST > 2 -> at[1] = 2 fi;
    generation[2] = 2;
    if :: generation[3] = 2 :: generation[3] = 3 fi;
    current[0] = 1; current[1] = 1; current[2] = 1;
    run rank(0); run rank(1); run rank(2); run coordinators(); run checkCompletion()
  }
}
