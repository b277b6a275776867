// Command demo runs one of the sample deployments as separate processes and exits with
// an error if a check fails.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/cyclamensaddle/cyclam/demo"
)

func main() {
	deployment := flag.String("deployment", "harrowgate", "sample deployment, harrowgate or hanbit")
	samples := flag.String("samples", "samples", "directory with the sample deployments")
	bin := flag.String("bin", "bin", "directory with the built programs")
	port := flag.Int("port", 17000, "first port to use")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	d := &demo.Demo{
		Samples: filepath.Join(*samples, *deployment),
		Bin:     *bin,
		Port:    *port,
		Out:     os.Stdout,
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}
