// Command drive plays one case of the review: it starts nodes as processes on loopback
// addresses, with stand-ins for the platform, the backends and the clients, and checks one
// rule from what clients and backends see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of the command.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// A scenario runs one case. It returns the ways in which the rule was broken.
type scenario func(w *world, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"reused-address":   reusedAddress,
	"forgotten-leave":  forgottenLeave,
	"stepped-back":     steppedBack,
	"large-requests":   largeRequests,
	"returned-backend": returnedBackend,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/cyclamensaddle", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(*program, *recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(w, trouble)
	if err != nil {
		w.note("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, b := range broken {
		w.note("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
