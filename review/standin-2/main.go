// Command standin runs the cases of the review. It starts the project's own processes with the commands of the deploy file on loopback
// addresses, and plays clients, backends, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the exit code of a case.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	cannotRun verdict = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// cases maps the name of a case to its function. trouble is false with TROUBLE=0.
var cases = map[string]func(rec *record, root string, trouble bool) verdict{
	"early": earlyAnswer,
	"drain": drainUnderLoad,
	"gone":  leftBeforeKill,
	"tail":  refusedBodies,
	"stale": staleAfterFreeze,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(int(cannotRun))
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(int(cannotRun))
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(cannotRun))
	}
	// The processes that the case has started end with this one.
	time.AfterFunc(maxTime, func() {
		rec.logf("cannot run: not done after %v", maxTime)
		os.Exit(int(cannotRun))
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption %v", os.Args[1], trouble)
	v := cases[os.Args[1]](rec, root, trouble)
	rec.logf("verdict %d", v)
	os.Exit(int(v))
}
