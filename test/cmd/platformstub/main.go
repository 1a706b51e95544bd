// Command platformstub serves stubs of the platform's log and instance list over
// HTTP.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"poplarvalve/internal/connection/platform"
	"poplarvalve/test/platformstub"
)

// headerTimeout bounds how long a client may take to send its request headers.
const headerTimeout = 5 * time.Second

func main() {
	address := flag.String("address", "127.0.0.1:0", "IP:port to listen on; port 0 lets the kernel choose")
	list := flag.String("instances", "", "file with the instance list as JSON")
	flag.Parse()
	if err := run(*address, *list); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the address that it listens on and serves requests. It returns only
// with an error.
func run(address, list string) error {
	instances, err := readList(list)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	server := &http.Server{
		Handler:           platformstub.New(instances).Handler("all"),
		ReadHeaderTimeout: headerTimeout,
	}
	return server.Serve(listener)
}

func readList(path string) ([]platform.ListedInstance, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var instances []platform.ListedInstance
	err = json.Unmarshal(content, &instances)
	return instances, err
}
