package oper

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/cyclamensaddle/cyclam/node"
	"github.com/cyclamensaddle/cyclam/store"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func (a *App) nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run the node beside an upstream instance until SIGTERM",
		Description: "Example:\n" +
			"  cyclamensaddle node --settings samples/harrowgate/node.json",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "settings file",
				Required: true,
			},
		},
		Action: a.runNode,
	}
}

// The runtime's settings for a small process beside an upstream: few threads to
// wake for a call, and garbage collected seldom but well below the limit of
// memory. The environment's GOMAXPROCS and GOGC go first.
const (
	processors   = 2
	garbageShare = 400
	memoryLimit  = 100 << 20
)

func tuneRuntime() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(processors)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(garbageShare)
		debug.SetMemoryLimit(memoryLimit)
	}
}

// runNode runs a node; the first SIGTERM or SIGINT begins a planned stop, the
// second ends the process at once.
func (a *App) runNode(ctx context.Context, c *cli.Command) error {
	settings, err := readSettings(c.String("settings"))
	if err != nil {
		return err
	}
	tuneRuntime()
	n := &node.Node{
		Settings: settings,
		Platform: store.New(settings.Platform.Address),
		Log:      newLogger(settings.Log.Level),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-asked.Done()
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
