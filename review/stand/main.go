package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	root := flag.String("root", ".", "the root of the repository")
	path := flag.String("record", "record.txt", "where the record is written")
	trouble := flag.Bool("trouble", true, "whether the disruption is played")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *root, *path, *trouble))
}

func run(name, root, path string, trouble bool) int {
	plays := map[string]func(*deployment, bool) (bool, error){"drain": playDrain, "silent": playSilent, "leave": largeFleet.playLeave, "leave4": smallFleet.playLeave}
	play, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.file.Close()
	record.printf("case %s, with the disruption: %t", name, trouble)
	d, err := newDeployment(root, record)
	if err != nil {
		record.printf("not run: %s", err)
		return exitNotRun
	}
	defer d.close()
	broken, err := play(d, trouble)
	switch {
	case err != nil:
		record.printf("not run: %s", err)
		return exitNotRun
	case broken:
		record.printf("the rule was broken")
		return exitBroken
	default:
		record.printf("the rule held")
		return exitHeld
	}
}
