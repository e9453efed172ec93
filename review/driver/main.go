// Command driver runs one case of the review against the real router: it starts the store,
// the replicas, the callers and the router processes, causes the disruption, and checks the
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"time"
)

// The second argument says whether the disruption takes place.
const (
	withDisruption    = "with"
	withoutDisruption = "without"
)

// scenario runs a case and returns how the rule was broken; empty if it held.
type scenario func(r *recorder, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"crash-hang": crashHang,
	"shutdown":   shutdown,
	"refused":    refusedAfterRun,
	"unsigned":   unsigned,
	"cold":       coldRestart,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || os.Args[2] != withDisruption && os.Args[2] != withoutDisruption {
		fmt.Fprintln(os.Stderr, "usage: driver CASE with|without RECORD")
		return 2
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "driver: case %q does not exist\n", os.Args[1])
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		return 2
	}
	defer file.Close()
	r := &recorder{file: file, began: time.Now()}
	trouble := os.Args[2] == withDisruption
	r.log("case %s, %s the disruption", os.Args[1], os.Args[2])
	broken, err := play(r, trouble)
	switch {
	case err != nil:
		r.log("could not run: %s", err)
		fmt.Fprintln(os.Stderr, "driver: could not run:", err)
		return 2
	case broken != "":
		r.log("RULE BROKEN: %s", broken)
		fmt.Println("rule broken:", broken)
		return 1
	default:
		r.log("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
