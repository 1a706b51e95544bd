// Command poplarvalved runs one entry instance. With "entry" as the first argument,
// the instance runs multi-step jobs on the workers of the platform.
//
// The command exits on SIGTERM or SIGINT, after the requests in flight are
// finished. If it can't start, it exits with code 1.
package main

import (
	"flag"
	"fmt"
	"os"

	"poplarvalve/internal/process/settings"
)

const version = "0.1.0"

// entryCommand is the argument that selects the instance for multi-step jobs.
const entryCommand = "entry"

func main() {
	settingsPath := flag.String("settings", "", "settings file (INI)")
	printVersion := flag.Bool("version", false, "print the version and end")
	flag.Parse()
	if *printVersion {
		fmt.Println("poplarvalved", version)
		return
	}
	runInstance := runDaemon
	if flag.Arg(0) == entryCommand {
		runInstance = runEntry
	}
	if err := runInstance(*settingsPath); err != nil {
		fmt.Fprintln(os.Stderr, "poplarvalved:", err)
		os.Exit(1)
	}
}

// runDaemon loads the settings and serves until SIGTERM or SIGINT.
func runDaemon(settingsPath string) error {
	loadedSettings, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	d, err := newDaemon(loadedSettings)
	if err != nil {
		return err
	}
	return d.run()
}
