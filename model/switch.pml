/*
 * The switch of a group's expert map. The engine holds the group before a step, arms
 * the ranks with the new map, and releases the hold. Two planners with the fencing
 * tokens 1 and 2 run concurrently; each can be paused at any point while the other
 * takes over. An order executes with or without a response, or with a delay.
 * A step of the model is a pass of the engine.
 * Checked property: no step begins while ranks have different maps.
 */
#ifndef N
#define N 2
#endif
#ifndef MAXSTEP
#define MAXSTEP 4
#endif
#ifndef LATE
#define LATE 2
#endif
#define NONE 0

mtype = { PREPARE, HOLD, ARM, RELEASE };

byte step; /* the last step that began */
byte seenToken[N], highestVersion[N], prepared[N], armed[N], armedStep[N], heldStep[N], map[N];
chan delayed = [LATE] of { mtype, byte, byte, byte, byte }; /* order, rank, token, version, step */

/* Executes one order by the rules of the engine. Sets ok if the order took effect. */
inline execute(o, r, token, v, s) {
	ok = false;
	if
	:: token < seenToken[r] -> skip
	:: else ->
		if
		:: o == PREPARE && v > highestVersion[r] && armed[r] == NONE -> highestVersion[r] = v; prepared[r] = v; ok = true
		:: o == HOLD && s > step && heldStep[r] == NONE -> heldStep[r] = s; ok = true
		:: o == ARM && prepared[r] == v && s > step && armed[r] == NONE -> armed[r] = v; armedStep[r] = s; ok = true
		:: o == RELEASE && heldStep[r] == s -> heldStep[r] = NONE; ok = true
		:: else -> skip
		fi;
		if
		:: ok -> seenToken[r] = token
		:: else -> skip
		fi
	fi
}

/* Executes an order now or queues it for later execution. The planner reads the rank's
 * state afterwards and issues the order again if it has had no effect. */
inline issue(o, r, token, v, s) {
	atomic {
		if
		:: execute(o, r, token, v, s)
		:: nfull(delayed) -> delayed ! o, r, token, v, s
		fi
	}
}

active proctype Engine() {
	byte r;
	bool ok, blocked;
	mtype o; byte orderRank, orderToken, orderVersion, orderStep;
	do
	:: atomic {
		nempty(delayed) ->
		delayed ?? o, orderRank, orderToken, orderVersion, orderStep;
		execute(o, orderRank, orderToken, orderVersion, orderStep)
	   }
	:: atomic {
		nempty(delayed) ->
		delayed ? o, orderRank, orderToken, orderVersion, orderStep;
		delayed ! o, orderRank, orderToken, orderVersion, orderStep
	   }
	:: atomic {
		step < MAXSTEP ->
		blocked = false;
		r = 0;
		do
		:: r < N -> blocked = blocked || heldStep[r] == step + 1; r++
		:: else -> break
		od;
		if
		:: blocked -> skip
		:: else ->
			step++;
			r = 0;
			do
			:: r < N ->
				if
				:: armed[r] != NONE && armedStep[r] == step -> map[r] = armed[r]; armed[r] = NONE
				:: else -> skip
				fi;
				r++
			:: else -> break
			od;
			r = 1;
			do
			:: r < N -> assert(map[r] == map[0]); r++
			:: else -> break
			od
		fi
	   }
	:: step == MAXSTEP -> break
	od
}

proctype Planner(byte token) {
	byte r, version, switchStep, heldRank;
	bool ok, allRanks;

	/* Makes each rank record the token. The planner orders a hold of a step far ahead and
	 * releases it at once; the model omits that hold. A rank that is already held is
	 * skipped. */
	r = 0;
	do
	:: r < N ->
		atomic {
			if
			:: token < seenToken[r] -> goto superseded
			:: token >= seenToken[r] && heldStep[r] == NONE -> seenToken[r] = token
			:: else -> skip
			fi;
			r++
		}
	:: else -> break
	od;
	/* The reports are final after fencing: completes the switch whose step is held, if
	 * there is one. */
	atomic {
		heldRank = N;
		r = 0;
		do
		:: r < N ->
			if
			:: heldStep[r] > step -> heldRank = r; switchStep = heldStep[r]
			:: else -> skip
			fi;
			r++
		:: else -> break
		od;
		if
		:: heldRank == N -> goto newSwitch
		:: else -> skip
		fi;
		version = prepared[heldRank];
		allRanks = version > map[heldRank];
		r = 0;
		do
		:: r < N -> allRanks = allRanks && prepared[r] == version; r++
		:: else -> break
		od;
#ifdef MUTANT_FORGET_SWITCH
		goto release;
#endif
		if
		:: allRanks -> goto arm
		:: else -> goto release
		fi
	}

newSwitch:
	/* Starts a new switch only if no rank reports another one. */
	atomic {
		r = 0;
		allRanks = true;
		do
		:: r < N -> allRanks = allRanks && armed[r] == NONE && heldStep[r] <= step; r++
		:: else -> break
		od;
		if
		:: allRanks -> skip
		:: else -> goto superseded
		fi
	}
	version = token;
	heldRank = 0;
	r = 0;
	do
	:: r < N && prepared[r] != version && token >= seenToken[r] -> issue(PREPARE, r, token, version, 0)
	:: r < N && prepared[r] == version -> r++
	:: r < N && token < seenToken[r] -> goto superseded
	:: r == N -> break
	:: step == MAXSTEP -> goto superseded
	od;
	switchStep = step + 1;
#ifdef MUTANT_ARM_UNHELD
	goto arm;
#endif
	do
	:: heldStep[heldRank] != switchStep && switchStep > step && token >= seenToken[heldRank] -> issue(HOLD, heldRank, token, 0, switchStep)
	:: switchStep <= step && step < MAXSTEP -> switchStep = step + 1
	:: heldStep[heldRank] == switchStep -> break
	:: token < seenToken[heldRank] || step == MAXSTEP -> goto superseded
	od;

arm:
	r = 0;
#ifdef MUTANT_RELEASE_EARLY
	r = 1;
#endif
	do
	:: r < N && armed[r] != version && map[r] != version && token >= seenToken[r] -> issue(ARM, r, token, version, switchStep)
	:: r < N && (armed[r] == version || map[r] == version) -> r++
	:: r < N && token < seenToken[r] && armed[r] != version && map[r] != version -> goto superseded
	:: r == N -> break
	:: step == MAXSTEP -> goto superseded
	od;

release:
	do
	:: heldStep[heldRank] == switchStep && token >= seenToken[heldRank] -> issue(RELEASE, heldRank, token, 0, switchStep)
	:: heldStep[heldRank] != switchStep || token < seenToken[heldRank] -> break
	od;
superseded:
	skip
}

init {
	atomic {
		run Planner(1);
		run Planner(2)
	}
}
