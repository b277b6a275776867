// Package oper implements the command line. It runs a node, and it lets operators
// apply, read, delete, check and watch the resources stored on the platform.
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

// The exit codes of the commands. ExitFailed covers every error without a code of its
// own. ExitUsage also covers settings that can't be read, ExitRefused invalid settings
// or objects, ExitConflict a stale revision, ExitUnavailable a platform that does not
// answer, and ExitTimeout an expired --timeout.
const (
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitTimeout     = 6
)

// App is the command-line application. Its fields are set before Run.
type App struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Platform is used instead of the platform at the address in --platform, if set.
	Platform cyclam.Platform
	// Adapters are further commands, which run nodes in other environments.
	Adapters []*cli.Command
}

// exitError is an error that sets the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error {
	return &exitError{
		code: code,
		err:  err,
	}
}

// Run executes the command in args, whose first element is the program name, and
// returns its exit code. It prints an error to Err.
func (a *App) Run(ctx context.Context, args []string) int {
	err := a.command().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(a.Err, "error:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var coded *exitError
	switch {
	case errors.As(err, &coded):
		return coded.code
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

// unknownCommand rejects an unknown command name. Without a name it prints the help.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return withExitCode(ExitUsage, errors.Errorf("unknown command %q, see cyclamensaddle --help", name))
	}
	return cli.ShowAppHelp(c)
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return withExitCode(ExitUsage, err)
}

// platformFlags returns the flags of a command that accesses the platform, with the
// command's own flags in extra.
func platformFlags(extra ...cli.Flag) []cli.Flag {
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
			Usage:   "output format, table or json",
			Value:   formatTable,
			Validator: func(format string) error {
				if format != formatTable && format != formatJSON {
					return errors.Errorf("got %q, want table or json", format)
				}
				return nil
			},
		},
	}, extra...)
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
			Usage: "wait until the change is in force on every node",
		},
		&cli.DurationFlag{
			Name:  "timeout",
			Usage: "time limit for --wait",
			Value: 30 * time.Second,
		},
	}
}
