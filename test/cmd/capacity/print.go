package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

// table prints rows in aligned columns.
type table struct {
	writer *tabwriter.Writer
}

// newTable prints a title and the column headings.
func newTable(title string, headings ...string) *table {
	fmt.Printf("\n## %s\n\n", title)
	t := &table{writer: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
	t.row(headings...)
	return t
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
}

func (t *table) end() {
	_ = t.writer.Flush()
}

func formatCount(n int) string { return fmt.Sprint(n) }

// formatBytes formats a number of bytes.
func formatBytes(bytes float64) string {
	switch {
	case bytes >= 1<<20:
		return fmt.Sprintf("%.2f MiB", bytes/(1<<20))
	case bytes >= 10_000:
		return fmt.Sprintf("%.1f KB", bytes/1000)
	default:
		return fmt.Sprintf("%.0f B", bytes)
	}
}

// formatShare formats processor seconds per second as a percentage of one core.
func formatShare(cpu float64) string { return fmt.Sprintf("%.3f%%", cpu*100) }

// formatMicros formats a time in seconds as microseconds.
func formatMicros(seconds float64) string { return fmt.Sprintf("%.0f us", seconds*1e6) }
