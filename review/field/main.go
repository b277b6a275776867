// Program field plays the cases of the second review that are scripts: each starts the real
// program beside stand-ins on loopback addresses and checks one rule from what clients and
// backends see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds a case.
const caseLimit = 110 * time.Second

// playCase plays a case and returns whether its rule held.
type playCase func(ctx context.Context, r *record, trouble bool) (bool, error)

var cases = map[string]playCase{
	"length": lengthCase,
	"memory": memoryCase,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	os.Exit(play(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		_, _ = fmt.Fprintf(os.Stderr, "field: no case %q\n", name)
		return exitNotRun
	}
	r, err := newRecord(path)
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "field: %v\n", err)
		return exitNotRun
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	held, err := run(ctx, r, trouble)
	switch {
	case err != nil:
		r.note("not run   %v", err)
		_, _ = fmt.Fprintf(os.Stderr, "field: %v\n", err)
		return exitNotRun
	case held:
		return exitHeld
	default:
		return exitBroken
	}
}
