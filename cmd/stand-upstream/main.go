// Command stand-upstream serves a stand-in for an upstream, with a given service
// time and bounded concurrency.
package main

import (
	"flag"
	"log"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/upstub"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9000", "host:port to listen on")
	name := flag.String("name", "upstream", "name of the upstream in responses")
	slots := flag.Int("slots", 12, "calls processed concurrently")
	connections := flag.Int("connections", 120, "concurrent connections")
	delay := flag.Duration("delay", time.Millisecond, "service time of a call")
	wait := flag.Bool("wait", false, "queue calls beyond the slots instead of refusing them")
	flag.Parse()
	upstream := &upstub.Upstream{
		Name:        *name,
		Slots:       *slots,
		Connections: *connections,
		Delay:       *delay,
		Wait:        *wait,
	}
	log.Fatal(upstream.Serve(*listen))
}
