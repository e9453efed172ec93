/*
 * Switching the expert map of a group whose engine holds, arms and releases passes.
 * Planners with tokens 1 and 2 run at the same time: each may be paused at any point
 * while the other takes over. Orders are carried out with or without an
 * answer, or late. Searched: no pass begins while ranks have different maps.
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

byte step;
byte fence[N], highest[N], prepared[N], armed[N], armedStep[N], held[N], map[N];
chan late = [LATE] of { mtype, byte, byte, byte, byte }; /* order, rank, token, version, step */

/* Carries out one order by the engine's rules. Ends with ok set. */
inline carryOut(o, r, token, v, s) {
	ok = false;
	if
	:: token < fence[r] -> skip
	:: else ->
		if
		:: o == PREPARE && v > highest[r] && armed[r] == NONE -> highest[r] = v; prepared[r] = v; ok = true
		:: o == HOLD && s > step && held[r] == NONE -> held[r] = s; ok = true
		:: o == ARM && prepared[r] == v && s > step && armed[r] == NONE -> armed[r] = v; armedStep[r] = s; ok = true
		:: o == RELEASE && held[r] == s -> held[r] = NONE; ok = true
		:: else -> skip
		fi;
		if
		:: ok -> fence[r] = token
		:: else -> skip
		fi
	fi
}

/* An order is carried out, or left to be carried out late; the planner looks at the
 * rank's state afterwards and gives the order again if its effect does not show. */
inline give(o, r, token, v, s) {
	atomic {
		if
		:: carryOut(o, r, token, v, s)
		:: nfull(late) -> late ! o, r, token, v, s
		fi
	}
}

active proctype Engine() {
	byte r;
	bool ok, waits;
	mtype o; byte lr, lt, lv, ls;
	do
	:: atomic { nempty(late) -> late ?? o, lr, lt, lv, ls; carryOut(o, lr, lt, lv, ls) }
	:: atomic { nempty(late) -> late ? o, lr, lt, lv, ls; late ! o, lr, lt, lv, ls }
	:: atomic {
		step < MAXSTEP ->
		waits = false;
		r = 0;
		do
		:: r < N -> waits = waits || held[r] == step + 1; r++
		:: else -> break
		od;
		if
		:: waits -> skip
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
	byte r, version, at, holder;
	bool ok, all;

	/* Fencing: a hold far ahead, taken back. A rank that is held keeps its hold. */
	r = 0;
	do
	:: r < N ->
		atomic {
			if
			:: token < fence[r] -> goto deposed
			:: token >= fence[r] && held[r] == NONE -> fence[r] = token
			:: else -> skip
			fi;
			r++
		}
	:: else -> break
	od;
	/* The reports are final now: complete the switch that is held, if any. */
	atomic {
		holder = N;
		r = 0;
		do
		:: r < N ->
			if
			:: held[r] > step -> holder = r; at = held[r]
			:: else -> skip
			fi;
			r++
		:: else -> break
		od;
		if
		:: holder == N -> goto fresh
		:: else -> skip
		fi;
		version = prepared[holder];
		all = version > map[holder];
		r = 0;
		do
		:: r < N -> all = all && prepared[r] == version; r++
		:: else -> break
		od;
#ifdef MUTANT_FORGET_SWITCH
		goto release;
#endif
		if
		:: all -> goto arm
		:: else -> goto release
		fi
	}

fresh:
	/* A switch is planned only while no rank shows another one. */
	atomic {
		r = 0;
		all = true;
		do
		:: r < N -> all = all && armed[r] == NONE && held[r] <= step; r++
		:: else -> break
		od;
		if
		:: all -> skip
		:: else -> goto deposed
		fi
	}
	version = token;
	holder = 0;
	r = 0;
	do
	:: r < N && prepared[r] != version && token >= fence[r] -> give(PREPARE, r, token, version, 0)
	:: r < N && prepared[r] == version -> r++
	:: r < N && token < fence[r] -> goto deposed
	:: r == N -> break
	:: step == MAXSTEP -> goto deposed
	od;
	at = step + 1;
#ifdef MUTANT_ARM_UNHELD
	goto arm;
#endif
	do
	:: held[holder] != at && at > step && token >= fence[holder] -> give(HOLD, holder, token, 0, at)
	:: at <= step && step < MAXSTEP -> at = step + 1
	:: held[holder] == at -> break
	:: token < fence[holder] || step == MAXSTEP -> goto deposed
	od;

arm:
	r = 0;
#ifdef MUTANT_RELEASE_EARLY
	r = 1;
#endif
	do
	:: r < N && armed[r] != version && map[r] != version && token >= fence[r] -> give(ARM, r, token, version, at)
	:: r < N && (armed[r] == version || map[r] == version) -> r++
	:: r < N && token < fence[r] && armed[r] != version && map[r] != version -> goto deposed
	:: r == N -> break
	:: step == MAXSTEP -> goto deposed
	od;

release:
	do
	:: held[holder] == at && token >= fence[holder] -> give(RELEASE, holder, token, 0, at)
	:: held[holder] != at || token < fence[holder] -> break
	od;
deposed:
	skip
}

init {
	atomic {
		run Planner(1);
		run Planner(2)
	}
}
