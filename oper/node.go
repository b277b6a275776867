package oper

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cyclamensaddle/cyclam/node"
	"github.com/cyclamensaddle/cyclam/store"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func (a *App) nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run the node of an upstream instance until SIGTERM",
		Description: "Example:\n" +
			"  cyclamensaddle node --settings samples/harrowgate/node.json",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "settings file of the node",
				Required: true,
			},
		},
		Action: a.runNode,
	}
}

// runNode runs a node. The first SIGTERM or SIGINT starts a graceful stop, the second
// terminates the process at once.
func (a *App) runNode(ctx context.Context, c *cli.Command) error {
	settings, err := readSettings(c.String("settings"))
	if err != nil {
		return err
	}
	n := &node.Node{
		Settings: settings,
		Platform: store.New(settings.Platform.Address),
		Log:      newLogger(settings.Log.Level),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	setMaxProcs()
	go tuneGC(ctx)
	go func() {
		<-signalled.Done()
		stop()
		if ctx.Err() == nil {
			n.Stop()
		}
	}()
	if err := n.Run(ctx); !errors.Is(err, node.ErrExit) {
		return err
	}
	return nil
}

func newLogger(level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:   "cyclamensaddle",
		Level:  hclog.LevelFromString(level),
		Output: os.Stderr,
	})
}
