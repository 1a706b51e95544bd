package logging

import (
	"bytes"
	"io"
	"sync"
)

// maxBatchBytes bounds one write of lines that wait.
const maxBatchBytes = 16 << 10

// output passes lines to a writer that may block, from a goroutine of its own.
type output struct {
	lines  chan []byte
	done   chan struct{}
	onDrop func()
	once   sync.Once
}

func newOutput(w io.Writer, onDrop func()) *output {
	o := &output{lines: make(chan []byte, maxWaitingLines), done: make(chan struct{}), onDrop: onDrop}
	go o.run(w)
	return o
}

// Write queues one line, or leaves it out if too many wait.
func (o *output) Write(line []byte) (int, error) {
	select {
	case o.lines <- bytes.Clone(line):
	default:
		o.onDrop()
	}
	return len(line), nil
}

func (o *output) run(w io.Writer) {
	defer close(o.done)
	for batch := range o.lines {
		for len(o.lines) > 0 && len(batch) < maxBatchBytes {
			batch = append(batch, <-o.lines...)
		}
		// Lines that can't be written have nowhere else to go.
		_, _ = w.Write(batch)
	}
}

// close writes what waits. No Write may follow.
func (o *output) close() {
	o.once.Do(func() { close(o.lines) })
	<-o.done
}
