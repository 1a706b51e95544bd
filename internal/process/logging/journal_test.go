package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/test/virtualtime"
)

// Odd records of another writer, written again and again, used up the lines about
// requests, and each line was as long as the record.
func TestSkippedRecordsDisplaceNoRequestLines(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		j := NewJournal(&output, "info", "e1", func() {})
		for range maxRequestLinesPerSecond {
			j.RecordSkipped("registry", "i-1", errors.New(strings.Repeat("x", 1<<16)))
		}
		j.LogRequest(RequestLine{Operation: "submit"})
		j.Close()
		assert.Assert(t, strings.Contains(output.String(), `"op":"submit"`), "the line about the request was dropped")
		lines := strings.Count(output.String(), "record skipped")
		assert.Equal(t, lines, maxSkipLinesPerSecond)
		assert.Assert(t, output.Len() < (lines+1)*2*maxErrorTextBytes, "%d bytes in %d lines", output.Len(), lines)
	})
}
