// Command standin runs the cases of the review: the project's own processes with stand-ins for the platform, operators, clients and
// backends. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	held   = 0
	broken = 1
	notRun = 2
)

// longestRun is below the 120 s that a script may run.
const longestRun = 117 * time.Second

// cases holds the function of each case by its name.
var cases = map[string]func(*environment) int{
	"memory":  runMemory,
	"answers": runAnswers,
	"report":  runReport,
	"late":    runLate,
	"head":    runHead,
}

// environment is what a case runs with.
type environment struct {
	program string
	folder  string
	trouble bool
	record  *recorder
}

func main() {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "", "the built program of the project")
	record := flag.String("record", "", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *record))
}

func run(name, program, record string) int {
	runCase, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return notRun
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	r, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	// The kernel ends the processes of the fleet with this one.
	time.AfterFunc(longestRun, func() {
		r.note("the case did not end within %v", longestRun)
		_ = os.RemoveAll(folder)
		os.Exit(notRun)
	})
	code := runCase(&environment{program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: r})
	r.note("exit %d", code)
	fmt.Printf("%s: exit %d\n", name, code)
	return code
}
