// Command cyclamensaddle runs nodes and carries the operators' commands.
package main

import (
	"context"
	"os"

	"github.com/cyclamensaddle/cyclam/oper"
)

func main() {
	app := &oper.App{
		In:  os.Stdin,
		Out: os.Stdout,
		Err: os.Stderr,
	}
	os.Exit(app.Run(context.Background(), os.Args))
}
