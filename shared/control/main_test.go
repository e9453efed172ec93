package control

import (
	"flag"
	"os"
	"testing"
)

// fixedSeed makes random tests give the same result on each run. `make fuzz` sets the
// variable randomEnvironment, so that the library chooses the seeds.
const (
	fixedSeed         = "20261204"
	randomEnvironment = "CHERVIL_RANDOM"
)

func TestMain(m *testing.M) {
	if os.Getenv(randomEnvironment) == "" {
		if err := flag.Set("rapid.seed", fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
