// Command stand-relay forwards all calls to one address without routing or policy.
// The benchmarks use it as the baseline for the cost of a hop.
package main

import (
	"flag"
	"log"

	"github.com/valyala/fasthttp"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9500", "host:port to listen on")
	to := flag.String("to", "127.0.0.1:9000", "host:port to forward to")
	flag.Parse()
	client := &fasthttp.HostClient{
		Addr:     *to,
		MaxConns: 512,
	}
	log.Fatal(fasthttp.ListenAndServe(*listen, func(ctx *fasthttp.RequestCtx) {
		ctx.Request.SetHost(*to)
		if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	}))
}
