// Command workerstub runs a stub of a worker, which accepts tasks over HTTP and
// only pretends to run them. It prints its address and capacity when it is
// ready.
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
	flag.Int64Var(&capacity.CPU, "cpu", 32000, "processor capacity in thousandths of a core")
	flag.Int64Var(&capacity.Memory, "memory", 125000, "mebibytes")
	flag.Int64Var(&capacity.Slots, "slots", 8, "number of tasks that may run at the same time")
	flag.Int64Var(&capacity.Connections, "connections", 64, "number of connections that may be open")
	urgentTaskDuration := flag.Duration("service-time", 0, "run time of an urgent call")
	taskDuration := flag.Duration("duration", time.Minute, "run time of any other task")
	flag.Parse()
	stub := workerstub.New()
	stub.ChangeSettings(func(s *workerstub.Settings) {
		s.Capacity, s.UrgentTaskDuration, s.TaskDuration = capacity, *urgentTaskDuration, *taskDuration
	})
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		return err
	}
	fmt.Printf("worker %s at %s: %s\n", *id, listener.Addr(), capacity)
	return http.Serve(listener, stub)
}
