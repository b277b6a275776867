// Command demo runs a deployment of the samples as separate processes.
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
	deployment := flag.String("deployment", "harrowgate", "harrowgate or hanbit")
	samples := flag.String("samples", "samples", "folder with the deployments")
	bin := flag.String("bin", "bin", "folder with the built programs")
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
