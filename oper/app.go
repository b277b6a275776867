// Package oper is the command line: running a node, and the operators' work on
// the platform's resources.
package oper

import (
	"context"
	"fmt"
	"io"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/store"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Version is the program's version.
const Version = "0.1.0"

// The exit codes.
const (
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitTimeout     = 6
)

// App is the command line; set its fields before Run.
type App struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Platform replaces the platform that the flags name.
	Platform cyclam.Platform
	// Adapters are commands that run nodes in other environments.
	Adapters []*cli.Command
}

// codedError is an error with an exit code.
type codedError struct {
	code int
	err  error
}

func (c *codedError) Error() string { return c.err.Error() }

func (c *codedError) Unwrap() error { return c.err }

func coded(code int, err error) error {
	return &codedError{
		code: code,
		err:  err,
	}
}

// Run executes one command and returns its exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.command().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(a.Err, "error:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var c *codedError
	switch {
	case errors.As(err, &c):
		return c.code
	case errors.Is(err, cyclam.ErrConflict):
		return ExitConflict
	case errors.Is(err, cyclam.ErrUnavailable):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

func (a *App) command() *cli.Command {
	root := &cli.Command{
		Name:      "cyclamensaddle",
		Usage:     "distribute a service mesh's configuration and route its calls",
		Reader:    a.In,
		Writer:    a.Out,
		ErrWriter: a.Err,
		Commands: []*cli.Command{
			a.nodeCommand(),
			a.applyCommand(),
			a.getCommand(),
			a.deleteCommand(),
			a.statusCommand(),
			a.watchCommand(),
			a.checkCommand(),
			a.explainCommand(),
			a.versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         unknownCommand,
	}
	root.Commands = append(root.Commands, a.Adapters...)
	for _, command := range root.Commands {
		command.OnUsageError = usageError
	}
	return root
}

// unknownCommand refuses a word that is no command; without one it shows help.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return coded(ExitUsage, errors.Errorf("unknown command %q, see cyclamensaddle --help", name))
	}
	return cli.ShowAppHelp(c)
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return coded(ExitUsage, err)
}

// platformFlags are the flags of every command that talks to the platform.
func platformFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name:    "platform",
			Usage:   "IP:port of the platform's object API",
			Value:   "127.0.0.1:8000",
			Sources: cli.EnvVars("CYCLAMENSADDLE_PLATFORM"),
		},
		&cli.StringFlag{
			Name:    "output",
			Aliases: []string{"o"},
			Usage:   "table or json",
			Value:   formatTable,
			Validator: func(format string) error {
				if format != formatTable && format != formatJSON {
					return errors.Errorf("got %q, want table or json", format)
				}
				return nil
			},
		},
	}, more...)
}

func (a *App) platform(c *cli.Command) cyclam.Platform {
	if a.Platform != nil {
		return a.Platform
	}
	return store.New(c.String("platform"))
}

func (a *App) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprintln(a.Out, "cyclamensaddle", Version)
			return err
		},
	}
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{
			Name:  "wait",
			Usage: "wait until in force on every node",
		},
		&cli.DurationFlag{
			Name:  "timeout",
			Usage: "how long to wait",
			Value: 30 * time.Second,
		},
	}
}
