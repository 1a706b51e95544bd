// Command standin3 drives the scripted cases of the third review: it starts the project's daemon as
// separate processes beside stand-ins for the platform's log, the workers and the callers.
//
// It exits with code 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(record *recorder, trouble bool) (broken bool, err error){
	"hopeless": hopeless,
	"late":     lateOrders,
	"restore":  restore,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD-FILE")
		os.Exit(2)
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.line("could not run: %v", err)
		record.close()
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record.line("rule broken: %v", broken)
	record.close()
	fmt.Println("rule broken:", broken)
	if broken {
		os.Exit(1)
	}
}
