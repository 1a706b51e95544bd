// Command workerstub runs a stand-in for a worker of the platform.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"poplarvalve/internal/process/resource"
	"poplarvalve/test/workerstub"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "workerstub:", err)
		os.Exit(1)
	}
}

func run() error {
	var capacity resource.Vector
	address := flag.String("address", "127.0.0.1:0", "IP:port to listen on")
	id := flag.String("id", "worker-1", "worker identifier")
	flag.Int64Var(&capacity.CPU, "cpu", 32000, "thousandths of a core")
	flag.Int64Var(&capacity.Memory, "memory", 125000, "mebibytes")
	flag.Int64Var(&capacity.Slots, "slots", 8, "tasks at the same time")
	flag.Int64Var(&capacity.Connections, "connections", 64, "open connections")
	service := flag.Duration("service-time", 0, "duration of an urgent call")
	duration := flag.Duration("duration", time.Minute, "duration of any other task")
	flag.Parse()
	stub := workerstub.New()
	stub.Change(func(s *workerstub.Settings) {
		s.Capacity, s.ServiceTime, s.Duration = capacity, *service, *duration
	})
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		return err
	}
	fmt.Printf("worker %s at %s: %s\n", *id, listener.Addr(), capacity)
	return http.Serve(listener, stub)
}
