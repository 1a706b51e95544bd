// Command poplarvalve is the command-line client of poplarvalve instances.
// Operators use it to check and change the rules and to inspect the state of an
// instance, and callers to submit, call, show and cancel work.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

const version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := runCommandLine(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
