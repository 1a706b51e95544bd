package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

// table prints rows in columns.
type table struct {
	writer *tabwriter.Writer
}

// newTable prints a title and the heads of the columns.
func newTable(title string, heads ...string) *table {
	fmt.Printf("\n## %s\n\n", title)
	t := &table{writer: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
	t.row(heads...)
	return t
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

func (t *table) end() {
	_ = t.writer.Flush()
}

func count(n int) string { return fmt.Sprint(n) }

// amount prints a number of bytes.
func amount(bytes float64) string {
	switch {
	case bytes >= 1<<20:
		return fmt.Sprintf("%.2f MiB", bytes/(1<<20))
	case bytes >= 10_000:
		return fmt.Sprintf("%.1f KB", bytes/1000)
	default:
		return fmt.Sprintf("%.0f B", bytes)
	}
}

// share prints seconds per second as a share of one core.
func share(cpu float64) string { return fmt.Sprintf("%.3f%%", cpu*100) }

// microseconds prints seconds of processor time.
func microseconds(seconds float64) string { return fmt.Sprintf("%.0f us", seconds*1e6) }
