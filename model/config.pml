/* The configuration log: concurrent publishers change two keys, appends take effect
 * late, twice or never, a reader writes snapshots that are appended late, the log
 * discards old records, and a reader starts late or is disconnected for a time. The
 * true state after each record is computed once, when the record is appended. The state
 * of every reader must equal the true state at its offset.
 *
 * Change 0 edits key 0, change 1 edits keys 0 and 1, change 2 edits key 1 and is
 * valid only while key 0 has value 1 (a reference that must exist).
 */
#define CHANGES 3
#define MAXLOG  5
#define READERS 2
#define SNAPSHOT 8

byte kind[MAXLOG+1];            /* change number, or SNAPSHOT, of the record at each offset */
byte snapshotOffset[MAXLOG+1];  /* the offset whose state a snapshot contains */
byte snapshotContent[MAXLOG+1]; /* unused */
byte length;                    /* the last offset in the log; offsets begin at 1 */
byte first = 1;                 /* the first retained offset */
byte baseOffset[CHANGES];       /* the offset that each change is based on */
byte pendingCopies[CHANGES];    /* appends that may still take effect */
bool sent[CHANGES];

/* The true values and versions of the keys after each offset. */
byte value0[MAXLOG+1]; byte value1[MAXLOG+1];
byte version0[MAXLOG+1]; byte version1[MAXLOG+1];
byte seen[MAXLOG+1];            /* changes appended so far, as a bit set */

/* The state of each reader. */
bool hasState[READERS];
byte applied[READERS];
byte readerValue0[READERS]; byte readerValue1[READERS];
byte readerVersion0[READERS]; byte readerVersion1[READERS];
byte readerSeen[READERS];

/* A snapshot that reader 0 has sent and that is not yet appended. */
bool snapshotPending;
byte pendingOffset; byte pendingValue0; byte pendingValue1;
byte pendingVersion0; byte pendingVersion1; byte pendingSeen;
/* The contents of the appended snapshots, by offset. */
byte snapshotValue0[MAXLOG+1]; byte snapshotValue1[MAXLOG+1];
byte snapshotVersion0[MAXLOG+1]; byte snapshotVersion1[MAXLOG+1]; byte snapshotSeen[MAXLOG+1];

#ifdef MUTANT_NO_IDS
#define SEEN(s, c) (false)
#else
#define SEEN(s, c) ((s >> (c)) & 1)
#endif

#ifdef MUTANT_NO_BASE
#define CONFLICT(c, b, x0, x1) (false)
#else
#define CONFLICT(c, b, x0, x1) ((((c) == 0 || (c) == 1) && (x0) > (b)) || (((c) == 1 || (c) == 2) && (x1) > (b)))
#endif

/* The correct rules, which no mutant changes. */
#define TRUE_SEEN(s, c) ((s >> (c)) & 1)
#define TRUE_CONFLICT(c, b, x0, x1) ((((c) == 0 || (c) == 1) && (x0) > (b)) || (((c) == 1 || (c) == 2) && (x1) > (b)))
#define INVALID(c, v0) ((c) == 2 && (v0) != 1)

/* Computes the true state after record c, which has the offset length. */
inline updateTruth(c) {
  value0[length] = value0[length-1]; value1[length] = value1[length-1];
  version0[length] = version0[length-1]; version1[length] = version1[length-1];
  seen[length] = seen[length-1];
  if
  :: c == SNAPSHOT -> skip
  :: c != SNAPSHOT && TRUE_SEEN(seen[length], c) -> skip
  :: c != SNAPSHOT && !TRUE_SEEN(seen[length], c) ->
    seen[length] = seen[length] | (1 << c);
    if
    :: TRUE_CONFLICT(c, baseOffset[c], version0[length], version1[length]) -> skip
    :: !TRUE_CONFLICT(c, baseOffset[c], version0[length], version1[length]) && INVALID(c, value0[length]) -> skip
    :: else ->
      if :: c != 2 -> value0[length] = c+1; version0[length] = length :: else -> skip fi;
      if :: c != 0 -> value1[length] = c+1; version1[length] = length :: else -> skip fi
    fi
  fi
}

/* Applies the next record to the state of reader r. */
inline applyNext(r) {
  byte c;
  c = kind[applied[r]+1];
  applied[r]++;
  if
  :: c == SNAPSHOT -> skip
  :: c != SNAPSHOT && SEEN(readerSeen[r], c) -> skip
  :: c != SNAPSHOT && !SEEN(readerSeen[r], c) ->
    readerSeen[r] = readerSeen[r] | (1 << c);
    if
    :: CONFLICT(c, baseOffset[c], readerVersion0[r], readerVersion1[r]) -> skip
    :: !CONFLICT(c, baseOffset[c], readerVersion0[r], readerVersion1[r]) && INVALID(c, readerValue0[r]) -> skip
    :: else ->
      if :: c != 2 -> readerValue0[r] = c+1; readerVersion0[r] = applied[r] :: else -> skip fi;
      if :: c != 0 -> readerValue1[r] = c+1; readerVersion1[r] = applied[r] :: else -> skip fi
    fi
  fi;
  c = 0
}

#ifdef MUTANT_OLD_SNAPSHOT
#define NEWER(r, o) (true)
#else
#define NEWER(r, o) (!hasState[r] || snapshotOffset[o] > applied[r])
#endif

#define DIVERGED(r) (hasState[r] && ( \
  readerValue0[r] != value0[applied[r]] || readerValue1[r] != value1[applied[r]] || \
  readerVersion0[r] != version0[applied[r]] || readerVersion1[r] != version1[applied[r]]))

inline installSnapshot(r, o) {
  hasState[r] = true; applied[r] = snapshotOffset[o];
  readerValue0[r] = snapshotValue0[o]; readerValue1[r] = snapshotValue1[o];
  readerVersion0[r] = snapshotVersion0[o]; readerVersion1[r] = snapshotVersion1[o];
  readerSeen[r] = snapshotSeen[o]
}

proctype reader(byte r) {
  byte o; byte before;
end:
  do
  /* The start of the stream is retained, so no record is missing. */
  :: atomic { !hasState[r] && first == 1 -> hasState[r] = true }

  /* Applies the next record if it is retained. */
#ifdef MUTANT_SKIP_GAP
  :: atomic { hasState[r] && applied[r] < length -> if :: applied[r]+1 < first -> applied[r] = first-1 :: else -> skip fi;
#else
  :: atomic { hasState[r] && applied[r] < length && applied[r]+1 >= first ->
#endif
     applyNext(r); assert(!DIVERGED(r)) }

  /* Installs a retained snapshot if it is newer or the reader has no state. */
  :: atomic { length > 0 ->
     o = first;
     do
     :: o < length -> if :: break :: o++ fi
     :: else -> break
     od;
     before = (hasState[r] -> applied[r] : 0);
     if
     :: kind[o] == SNAPSHOT && NEWER(r, o) -> installSnapshot(r, o); assert(!DIVERGED(r)); assert(applied[r] >= before)
     :: else -> skip
     fi;
     o = 0; before = 0 }

  /* Receives the state of the other reader. */
  :: atomic { hasState[1-r] && (!hasState[r] || applied[1-r] > applied[r]) ->
     hasState[r] = true; applied[r] = applied[1-r];
     readerValue0[r] = readerValue0[1-r]; readerValue1[r] = readerValue1[1-r];
     readerVersion0[r] = readerVersion0[1-r]; readerVersion1[r] = readerVersion1[1-r];
     readerSeen[r] = readerSeen[1-r];
     assert(!DIVERGED(r)) }

  /* Restarts without state. */
  :: atomic { r == 1 && hasState[r] -> hasState[r] = false; applied[r] = 0;
     readerValue0[r] = 0; readerValue1[r] = 0; readerVersion0[r] = 0; readerVersion1[r] = 0;
     readerSeen[r] = 0 }
  od
}

proctype publisher(byte c) {
end:
  do
  :: atomic { !sent[c] && hasState[0] ->
     sent[c] = true; baseOffset[c] = applied[0]; pendingCopies[c] = (c == 2 -> 2 : 1) }
  od
}

proctype log() {
  byte c;
end:
  do
  /* An append takes effect, possibly a second time. */
  :: atomic { pendingCopies[0] > 0 && length < MAXLOG -> pendingCopies[0]--; length++; kind[length] = 0; updateTruth(0) }
  :: atomic { pendingCopies[1] > 0 && length < MAXLOG -> pendingCopies[1]--; length++; kind[length] = 1; updateTruth(1) }
  :: atomic { pendingCopies[2] > 0 && length < MAXLOG -> pendingCopies[2]--; length++; kind[length] = 2; updateTruth(2) }
  /* Reader 0 sends a snapshot, which is appended later. */
  :: atomic { !snapshotPending && hasState[0] && applied[0] > 0 ->
     snapshotPending = true; pendingOffset = applied[0];
     pendingValue0 = readerValue0[0]; pendingValue1 = readerValue1[0];
     pendingVersion0 = readerVersion0[0]; pendingVersion1 = readerVersion1[0];
     pendingSeen = readerSeen[0] }
  :: atomic { snapshotPending && length < MAXLOG ->
     snapshotPending = false; length++; kind[length] = SNAPSHOT; snapshotOffset[length] = pendingOffset;
     snapshotValue0[length] = pendingValue0; snapshotValue1[length] = pendingValue1;
     snapshotVersion0[length] = pendingVersion0; snapshotVersion1[length] = pendingVersion1;
     snapshotSeen[length] = pendingSeen;
     updateTruth(SNAPSHOT) }
  /* Discards the oldest record. */
  :: atomic { first < length -> first++ }
  od
}

init {
  atomic {
    run reader(0); run reader(1); run publisher(0); run publisher(1); run publisher(2); run log()
  }
}
