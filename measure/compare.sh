#!/bin/sh
# Compares scores of the users' bench with the committed base figures.
#   compare.sh                 scores each deployment of the table and compares
#   compare.sh check FILE...   compares outputs of the bench's score
#   compare.sh write FILE...   writes the table from outputs of the bench's score
# BENCH is the bench's program, SITES the folder below which the site files are, ARGS what
# score gets besides (--jobs 2, --quick), OUT a folder for the outputs, ONLY a list of
# deployments. In the table, the row "all" of a deployment has the mean worth of its days,
# its score and its gate. A day that was drawn at random isn't kept.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
table=${TABLE:-$root/docs/measurements/base-scores.tsv}
bound=0.03 # The bench calls a smaller change noise.

fail() {
	echo "compare: $*" >&2
	exit 2
}

# rows prints the table's rows for outputs of the bench.
rows() {
	for output in "$@"; do
		[ -s "$output" ] || { echo "compare: $output: is empty or missing, expected an output of score" >&2; return 1; }
	done
	awk -v OFS='\t' '
	function end() { # Ends the deployment that is being read.
		if (name == "") return
		if (days == 0 || gate == "") {
			printf "compare: %s: score of %s has %d days and gate \"%s\", expected a finished score\n", file, name, days, gate > "/dev/stderr"
			bad = 1
		} else print name, "all", sprintf("%.3f", sum / days), score, gate
		name = ""
	}
	function endFile() {
		end()
		if (found == 0 && file != "") { printf "compare: %s: holds no score, expected a finished one\n", file > "/dev/stderr"; bad = 1 }
	}
	FNR == 1 { endFile(); file = FILENAME; found = 0 }
	/^score on the standard days of / {
		end(); found++
		name = $7; gate = ""; days = 0; sum = 0
		score = $0; sub(/^[^:]*: /, "", score); sub(/[^0-9.].*/, "", score)
	}
	name != "" && $2 ~ /^[0-9]+\/[0-9]+$/ && $3 ~ /^[0-9.]+$/ && $4 ~ /^-?[0-9.]+$/ && $1 !~ /^fresh-/ {
		print name, $1, $4, $3, ($0 ~ /BROKEN/ ? "broken" : "kept")
		days++; sum += $4
	}
	name != "" && /^GATE (passed|failed)/ { gate = $2; sub(/:$/, "", gate) }
	END {
		endFile()
		exit bad || file == ""
	}' "$@"
}

write() {
	fresh=$(rows "$@") || fail "the table is left as it was"
	{
		printf 'deployment\tday\tworth\tscore\tgate\n'
		echo "$fresh"
	} >"$table"
}

# check prints base and now for each row that both have, and fails if a deployment's mean
# worth over these days, or its score if the days are the same, fell by more than the bound,
# or if its gate failed that passed.
check() {
	fresh=$(rows "$@") || fail "expected finished scores"
	echo "$fresh" | awk -F '\t' -v bound=$bound '
	FNR == 1 { part++ }
	part == 1 && FNR > 1 { base[$1, $2] = $3; score[$1, $2] = $4; gate[$1, $2] = $5; if ($2 != "all") baseDays[$1]++ }
	part == 2 && !(($1, $2) in base) { printf "%-26s %-10s no base figure\n", $1, $2; if ($2 == "all") fell = 1; else extra[$1]++; next }
	part == 2 && $2 != "all" {
		same[$1]++; before[$1] += base[$1, $2]; now[$1] += $3
		printf "%-26s %-10s worth %.3f, base %.3f, %+.3f; %s\n", $1, $2, $3, base[$1, $2], $3 - base[$1, $2], $5
	}
	part == 2 && $2 == "all" {
		verdict = "ok"
		if (same[$1] == 0) verdict = "NO DAY IN COMMON"
		else {
			mean = now[$1] / same[$1]; was = before[$1] / same[$1]
			if (mean < was - bound - 1e-9) verdict = "WORTH FELL"
		}
		whole = same[$1] == baseDays[$1] && extra[$1] == 0
		if (whole && $4 < score[$1, $2] - bound - 1e-9) verdict = "SCORE FELL"
		if (gate[$1, $2] == "passed" && $5 != "passed") verdict = "GATE FAILED"
		printf "%-26s %-10s mean worth %.3f, base %.3f; score %s, base %s%s; gate %s, base %s: %s\n", $1, "all", mean, was,
			$4, score[$1, $2], (whole ? "" : " (other days)"), $5, gate[$1, $2], verdict
		if (verdict != "ok") fell = 1
	}
	END { exit fell }' "$table" -
}

# play scores the deployments of the table and compares.
play() {
	[ -n "${BENCH:-}" ] || fail "BENCH is not set, expected the path of the bench's program"
	[ -x "$BENCH" ] || fail "BENCH is $BENCH, expected a program"
	[ -n "${SITES:-}" ] || fail "SITES is not set, expected the folder with the site files"
	[ -d "$SITES" ] || fail "SITES is $SITES, expected a folder"
	deployments=${ONLY:-$(awk -F '\t' 'FNR > 1 && $2 == "all" { print $1 }' "$table")}
	[ -n "$deployments" ] || fail "$table holds no deployment, expected base figures"
	out=${OUT:-$(mktemp -d)}
	mkdir -p "$out"
	set --
	for name in $deployments; do
		site=$(find "$SITES" -name "$name.toml" | head -n 1)
		[ -n "$site" ] || fail "no $name.toml below $SITES"
		# The status tells of the gate, which is in the output as well.
		(cd "$root" && "$BENCH" score "$site" ${ARGS:-} --why "${WHY:-comparison with the base figures}") >"$out/$name.out" 2>&1 || true
		set -- "$@" "$out/$name.out"
	done
	check "$@"
}

mode=${1:-play}
[ $# -eq 0 ] || shift
case $mode in
play) [ -f "$table" ] || fail "no table $table"; play ;;
check) [ -f "$table" ] || fail "no table $table"; [ $# -gt 0 ] || fail "check: expected outputs of scores"; check "$@" ;;
write) [ $# -gt 0 ] || fail "write: expected outputs of scores"; write "$@" ;;
*) fail "unknown mode $mode, expected check or write" ;;
esac
