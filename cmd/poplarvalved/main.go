// Command poplarvalved runs one entry instance. With the first argument entry
// it runs jobs of steps on the platform's workers.
//
// It ends on SIGTERM or SIGINT after it has finished the requests in flight, and
// with exit code 1 if it can't start.
package main

import (
	"flag"
	"fmt"
	"os"

	"poplarvalve/internal/process/settings"
)

const version = "0.1.0"

// entryCommand selects the instance that runs jobs of steps.
const entryCommand = "entry"

func main() {
	path := flag.String("settings", "", "settings file (INI)")
	printVersion := flag.Bool("version", false, "print the version and end")
	flag.Parse()
	if *printVersion {
		fmt.Println("poplarvalved", version)
		return
	}
	run := start
	if flag.Arg(0) == entryCommand {
		run = runEntry
	}
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "poplarvalved:", err)
		os.Exit(1)
	}
}

func start(path string) error {
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	d, err := newDaemon(loaded)
	if err != nil {
		return err
	}
	return d.run()
}
