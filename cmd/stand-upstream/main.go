// Command stand-upstream runs the stand-in for an upstream.
package main

import (
	"flag"
	"log"
	"time"

	"github.com/cyclamensaddle/cyclam/stand/upstub"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9000", "host:port to serve")
	name := flag.String("name", "upstream", "name in answers")
	slots := flag.Int("slots", 12, "calls worked on at once")
	connections := flag.Int("connections", 120, "connections at once")
	delay := flag.Duration("delay", time.Millisecond, "service time")
	wait := flag.Bool("wait", false, "let work beyond the slots wait")
	flag.Parse()
	w := &upstub.Upstream{
		Name:        *name,
		Slots:       *slots,
		Connections: *connections,
		Delay:       *delay,
		Wait:        *wait,
	}
	log.Fatal(w.Serve(*listen))
}
