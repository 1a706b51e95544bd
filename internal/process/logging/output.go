package logging

import (
	"bytes"
	"io"
	"sync"
)

// maxBatchBytes is the size from which on no more queued lines are added to one
// write.
const maxBatchBytes = 16 << 10

// asyncWriter passes lines to a writer that may block, from a goroutine of its
// own, so that the callers of Write never block.
type asyncWriter struct {
	lines  chan []byte
	done   chan struct{}
	onDrop func()
	once   sync.Once
}

func newAsyncWriter(w io.Writer, onDrop func()) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), onDrop: onDrop}
	go a.run(w)
	return a
}

// Write queues one line, or drops it if maxQueuedLines are queued.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- bytes.Clone(line):
	default:
		a.onDrop()
	}
	return len(line), nil
}

func (a *asyncWriter) run(w io.Writer) {
	defer close(a.done)
	for batch := range a.lines {
		for len(a.lines) > 0 && len(batch) < maxBatchBytes {
			batch = append(batch, <-a.lines...)
		}
		// The error is ignored, since there is no other place to write the
		// lines.
		_, _ = w.Write(batch)
	}
}

// close writes the queued lines and waits for the write. Write must not be
// called afterwards.
func (a *asyncWriter) close() {
	a.once.Do(func() { close(a.lines) })
	<-a.done
}
