// Command rig runs one case of the review: it starts a small deployment of the real program on
// loopback addresses, brings one disruption about, and checks one rule by what clients and backends
// have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// cases holds what each case does; it returns whether the rule was broken.
var cases = map[string]func(*options) (bool, error){}

// options are those of the command line.
type options struct {
	program string
	rec     *record
	// trouble is unset if the disruption is left out.
	trouble bool
	rounds  int
}

func main() { os.Exit(start()) }

func start() int {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "target/cyclamensaddle", "the program under review")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	rounds := flag.Int("rounds", 0, "how often the disruption comes; 0: the case's own number")
	flag.Parse()
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitCannotRun
	}
	run, ok := cases[*name]
	if !ok {
		fmt.Println("cannot run: unknown case", *name)
		return exitCannotRun
	}
	broken, err := run(&options{
		program: *program,
		rec:     rec,
		trouble: os.Getenv("TROUBLE") != "0",
		rounds:  *rounds,
	})
	switch {
	case err != nil:
		rec.say("cannot run: %v", err)
		return exitCannotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	default:
		rec.say("the rule held")
		return exitHeld
	}
}
