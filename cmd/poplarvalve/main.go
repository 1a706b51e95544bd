// Command poplarvalve lets operators and callers use a running poplarvalve.
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
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
