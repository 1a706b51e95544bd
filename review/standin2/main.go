// Command standin2 plays the cases of the review.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*system, bool) (bool, error){"repeat": repeatCase, "region": regionCase}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s, err := newSystem(rec, os.Args[2])
	if err != nil {
		rec.line("the case can't run: %v", err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	s.close()
	fmt.Println(rec.last)
	switch {
	case err != nil:
		rec.line("the case can't run: %v", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
