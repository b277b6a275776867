// Command stand-platform serves an in-memory stand-in for the platform's object API.
package main

import (
	"flag"
	"log"

	"github.com/cyclamensaddle/cyclam/stand/objapi"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:8000", "host:port to listen on")
	flag.Parse()
	server := &objapi.Server{
		Store: objapi.NewStore(),
	}
	log.Fatal(server.Serve(*listen))
}
