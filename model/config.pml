/* The configuration: two publishers race on two keys, appends take effect late,
 * twice or never, daemons write snapshots that land late, the log forgets old
 * records, and a daemon starts late or was cut off. Each record's true meaning
 * is worked out once, when it lands, by the rules; every reader must hold
 * exactly that at its offset.
 *
 * Change 0 edits key 0, change 1 edits keys 0 and 1, change 2 edits key 1 and is
 * valid only while key 0 has value 1 (a reference that must exist).
 */
#define CHANGES 3
#define MAXLOG  5
#define READERS 2
#define SNAPSHOT 8

byte kind[MAXLOG+1];       /* change number, or SNAPSHOT, of the record at an offset */
byte snapAt[MAXLOG+1];     /* the offset a snapshot stands for */
byte snapValue[MAXLOG+1];  /* its packed content */
byte length;               /* records in the log; offsets are 1..length */
byte first = 1;            /* the first retained offset */
byte base[CHANGES];        /* the offset that each change was made from */
byte copies[CHANGES];      /* appends that may still take effect */
bool sent[CHANGES];

/* the true state after each offset: values, versions and outcomes, packed */
byte value0[MAXLOG+1]; byte value1[MAXLOG+1];
byte version0[MAXLOG+1]; byte version1[MAXLOG+1];
byte seen[MAXLOG+1];       /* changes that were read, as bits */

/* readers */
bool based[READERS];
byte applied[READERS];
byte rv0[READERS]; byte rv1[READERS];
byte rver0[READERS]; byte rver1[READERS];
byte rseen[READERS];

/* a snapshot being written by reader 0, not yet landed */
bool writing;
byte wAt; byte wv0; byte wv1; byte wver0; byte wver1; byte wseen;
/* landed snapshots' contents */
byte sv0[MAXLOG+1]; byte sv1[MAXLOG+1]; byte sver0[MAXLOG+1]; byte sver1[MAXLOG+1]; byte sseen[MAXLOG+1];

#ifdef MUTANT_NO_IDS
#define SEEN(s, c) (false)
#else
#define SEEN(s, c) ((s >> (c)) & 1)
#endif

#ifdef MUTANT_NO_BASE
#define CLASH(c, b, x0, x1) (false)
#else
#define CLASH(c, b, x0, x1) ((((c) == 0 || (c) == 1) && (x0) > (b)) || (((c) == 1 || (c) == 2) && (x1) > (b)))
#endif

/* the true rules */
#define TRUE_SEEN(s, c) ((s >> (c)) & 1)
#define TRUE_CLASH(c, b, x0, x1) ((((c) == 0 || (c) == 1) && (x0) > (b)) || (((c) == 1 || (c) == 2) && (x1) > (b)))
#define INVALID(c, v0) ((c) == 2 && (v0) != 1)

inline landTruth(c) {
  value0[length] = value0[length-1]; value1[length] = value1[length-1];
  version0[length] = version0[length-1]; version1[length] = version1[length-1];
  seen[length] = seen[length-1];
  if
  :: c == SNAPSHOT -> skip
  :: c != SNAPSHOT && TRUE_SEEN(seen[length], c) -> skip
  :: c != SNAPSHOT && !TRUE_SEEN(seen[length], c) ->
    seen[length] = seen[length] | (1 << c);
    if
    :: TRUE_CLASH(c, base[c], version0[length], version1[length]) -> skip
    :: !TRUE_CLASH(c, base[c], version0[length], version1[length]) && INVALID(c, value0[length]) -> skip
    :: else ->
      if :: c != 2 -> value0[length] = c+1; version0[length] = length :: else -> skip fi;
      if :: c != 0 -> value1[length] = c+1; version1[length] = length :: else -> skip fi
    fi
  fi
}

inline applyNext(r) {
  byte c;
  c = kind[applied[r]+1];
  applied[r]++;
  if
  :: c == SNAPSHOT -> skip
  :: c != SNAPSHOT && SEEN(rseen[r], c) -> skip
  :: c != SNAPSHOT && !SEEN(rseen[r], c) ->
    rseen[r] = rseen[r] | (1 << c);
    if
    :: CLASH(c, base[c], rver0[r], rver1[r]) -> skip
    :: !CLASH(c, base[c], rver0[r], rver1[r]) && INVALID(c, rv0[r]) -> skip
    :: else ->
      if :: c != 2 -> rv0[r] = c+1; rver0[r] = applied[r] :: else -> skip fi;
      if :: c != 0 -> rv1[r] = c+1; rver1[r] = applied[r] :: else -> skip fi
    fi
  fi;
  c = 0
}

#ifdef MUTANT_OLD_SNAPSHOT
#define NEWER(r, o) (true)
#else
#define NEWER(r, o) (!based[r] || snapAt[o] > applied[r])
#endif

#define WRONG(r) (based[r] && ( \
  rv0[r] != value0[applied[r]] || rv1[r] != value1[applied[r]] || \
  rver0[r] != version0[applied[r]] || rver1[r] != version1[applied[r]]))

inline install(r, o) {
  based[r] = true; applied[r] = snapAt[o];
  rv0[r] = sv0[o]; rv1[r] = sv1[o]; rver0[r] = sver0[o]; rver1[r] = sver1[o]; rseen[r] = sseen[o]
}

proctype reader(byte r) {
  byte o; byte before;
end:
  do
  /* the start of the stream is retained: nothing can be missing */
  :: atomic { !based[r] && first == 1 -> based[r] = true }

  /* the next record, if it is retained */
#ifdef MUTANT_SKIP_GAP
  :: atomic { based[r] && applied[r] < length -> if :: applied[r]+1 < first -> applied[r] = first-1 :: else -> skip fi;
#else
  :: atomic { based[r] && applied[r] < length && applied[r]+1 >= first ->
#endif
     applyNext(r); assert(!WRONG(r)) }

  /* a retained snapshot that is newer, or any while there is no state */
  :: atomic { length > 0 ->
     o = first;
     do
     :: o < length -> if :: break :: o++ fi
     :: else -> break
     od;
     before = (based[r] -> applied[r] : 0);
     if
     :: kind[o] == SNAPSHOT && NEWER(r, o) -> install(r, o); assert(!WRONG(r)); assert(applied[r] >= before)
     :: else -> skip
     fi;
     o = 0; before = 0 }

  /* a peer tells its state */
  :: atomic { based[1-r] && (!based[r] || applied[1-r] > applied[r]) ->
     based[r] = true; applied[r] = applied[1-r];
     rv0[r] = rv0[1-r]; rv1[r] = rv1[1-r]; rver0[r] = rver0[1-r]; rver1[r] = rver1[1-r]; rseen[r] = rseen[1-r];
     assert(!WRONG(r)) }

  /* restart with nothing */
  :: atomic { r == 1 && based[r] -> based[r] = false; applied[r] = 0;
     rv0[r] = 0; rv1[r] = 0; rver0[r] = 0; rver1[r] = 0; rseen[r] = 0 }
  od
}

proctype publisher(byte c) {
end:
  do
  :: atomic { !sent[c] && based[0] -> sent[c] = true; base[c] = applied[0]; copies[c] = (c == 2 -> 2 : 1) }
  od
}

proctype log() {
  byte c;
end:
  do
  /* an append takes effect, perhaps a second time */
  :: atomic { copies[0] > 0 && length < MAXLOG -> copies[0]--; length++; kind[length] = 0; landTruth(0) }
  :: atomic { copies[1] > 0 && length < MAXLOG -> copies[1]--; length++; kind[length] = 1; landTruth(1) }
  :: atomic { copies[2] > 0 && length < MAXLOG -> copies[2]--; length++; kind[length] = 2; landTruth(2) }
  /* reader 0 writes a snapshot, which lands later */
  :: atomic { !writing && based[0] && applied[0] > 0 -> writing = true; wAt = applied[0];
     wv0 = rv0[0]; wv1 = rv1[0]; wver0 = rver0[0]; wver1 = rver1[0]; wseen = rseen[0] }
  :: atomic { writing && length < MAXLOG -> writing = false; length++; kind[length] = SNAPSHOT; snapAt[length] = wAt;
     sv0[length] = wv0; sv1[length] = wv1; sver0[length] = wver0; sver1[length] = wver1; sseen[length] = wseen;
     landTruth(SNAPSHOT) }
  /* retention */
  :: atomic { first < length -> first++ }
  od
}

init {
  atomic {
    run reader(0); run reader(1); run publisher(0); run publisher(1); run publisher(2); run log()
  }
}
