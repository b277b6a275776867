// Command cyclamensaddle runs a node and provides the commands for operators.
package main

import (
	"context"
	"os"

	"github.com/cyclamensaddle/cyclam/oper"
	"github.com/cyclamensaddle/cyclam/platform"
	"github.com/urfave/cli/v3"
)

func main() {
	app := &oper.App{
		In:  os.Stdin,
		Out: os.Stdout,
		Err: os.Stderr,
		Adapters: []*cli.Command{
			platform.Command(),
		},
	}
	os.Exit(app.Run(context.Background(), os.Args))
}
