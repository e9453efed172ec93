/* A store that is restored from a copy: an operator writes versions of a configuration and
 * appends them again after a restore, which cuts the log back and begins a new era. Two
 * instances read the store, each late, or receive the record of the other one. Leaders claim their fencing tokens by appends
 * to a second topic.
 *
 * No instance may use an older version than before, every instance must use the version
 * that the operator has written last once it has read the whole store, and no fencing token
 * may be given out twice.
 */
#define MAXLOG    3
#define INSTANCES 2
#define VERSIONS  3
#define RESTORES  2

byte era = 1;
byte log[MAXLOG+1];      /* the version at each offset; offsets begin at 1 */
byte length;             /* the last offset */
byte written;            /* the version that the operator has written last */
byte restores;
byte restarts;           /* of the last instance, which loses its state */
bool missing;            /* the operator has to write its state again */

/* The state of each instance. */
byte inUse[INSTANCES];   /* version of the configuration in use */
byte heldEra[INSTANCES]; /* position of the record in use */
byte heldOffset[INSTANCES];
byte readEra[INSTANCES]; /* position up to which the store was read */
byte readOffset[INSTANCES];

#define MAXCLAIMS 2
byte claims;             /* records of the topic of claims */
byte highest;            /* the highest token so far */

#ifdef MUTANT_OFFSET_ORDER
#define AFTER(r, e, o) ((o) > heldOffset[r])
#else
#define AFTER(r, e, o) ((e) > heldEra[r] || (e) == heldEra[r] && (o) > heldOffset[r])
#endif

#ifdef MUTANT_OFFSET_TOKEN
#define TOKEN (claims + 1)
#else
#define TOKEN (era * 4 + claims + 1)
#endif

#ifdef MUTANT_POSITION_ONLY
#define NEWER(r, v, e, o) AFTER(r, e, o)
#else
#ifdef MUTANT_OFFSET_ORDER
#define NEWER(r, v, e, o) (AFTER(r, e, o) && (v) > inUse[r])
#else
/* Of two eras' records, the higher version is newer. */
#define NEWER(r, v, e, o) ((e) != heldEra[r] -> (v) > inUse[r] : AFTER(r, e, o) && (v) > inUse[r])
#endif
#endif

/* Instance r receives the version v with its position. */
inline receive(r, v, e, o) {
  if
  :: NEWER(r, v, e, o) ->
     assert(v >= inUse[r]);
     inUse[r] = v; heldEra[r] = e; heldOffset[r] = o
  :: else -> skip
  fi
}

#ifdef MUTANT_NO_ERA_CHECK
#define OUTDATED(r) (readOffset[r] > length)
#else
#define OUTDATED(r) (readEra[r] != era)
#endif

proctype instance(byte r) {
end:
  do
  /* Restarts without state. */
  :: atomic { r == 1 && readEra[1] != 0 && restarts == 0 -> restarts++;
     inUse[1] = 0; heldEra[1] = 0; heldOffset[1] = 0; readEra[1] = 0; readOffset[1] = 0 }
  /* Lists the topic: at the start, and when a read shows that the store was restored. */
  :: atomic { OUTDATED(r) || readEra[r] == 0 ->
     if :: length > 0 -> receive(r, log[length], era, length) :: else -> skip fi;
     readEra[r] = era; readOffset[r] = length }
  /* Reads the next record. */
  :: atomic { readEra[r] != 0 && !OUTDATED(r) && readOffset[r] < length ->
     readOffset[r]++;
     receive(r, log[readOffset[r]], era, readOffset[r]) }
  /* Receives the record of the other instance, which may be from a lost era. */
  :: atomic { heldEra[1-r] != 0 -> receive(r, inUse[1-r], heldEra[1-r], heldOffset[1-r]) }
  od
}

/* Holds if an instance takes itself to have read the whole store, which has the operator's
 * state. */
#define CURRENT(r) (readEra[r] != 0 && !OUTDATED(r) && readOffset[r] == length && !missing)

active proctype operator() {
end:
  do
  :: atomic { !missing && written < VERSIONS && length < MAXLOG -> written++; length++; log[length] = written }
  :: atomic { missing && length < MAXLOG -> missing = false;
     if :: written > 0 -> length++; log[length] = written :: else -> skip fi }
  od
}

active proctype store() {
  byte o;
end:
  do
  /* Is restored from a copy that ends at any earlier offset. */
  :: atomic { restores < RESTORES ->
     o = length;
     do
     :: o > 0 -> if :: break :: o-- fi
     :: else -> break
     od;
     restores++; era++; missing = true;
     do :: length > o -> log[length] = 0; length-- :: else -> break od;
     claims = 0; o = 0 }
  od
}

active proctype leaders() {
end:
  do
  :: atomic { claims < MAXCLAIMS -> assert(TOKEN > highest); highest = TOKEN; claims++ }
  od
}

active proctype monitor() {
end:
  do
  :: atomic { CURRENT(0) -> assert(inUse[0] == written) }
  :: atomic { CURRENT(1) -> assert(inUse[1] == written) }
  od
}

init { atomic { run instance(0); run instance(1) } }
