//go:build review

// Command standin plays one case of the review: it starts the entry instances as
// separate processes, stands in for the platform's store, the workers and the requesters,
// and judges one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	cases := map[string]func(){"ends": manyEnds, "crashes": crashes, "images": manyImages, "large": largeJob}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil || os.Getenv("RECORD") == "" {
		fmt.Fprintln(os.Stderr, "usage: RECORD=FILE standin CASE")
		os.Exit(2)
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupts
		stopAll()
		os.Exit(2)
	}()
	cases[os.Args[1]]()
}
