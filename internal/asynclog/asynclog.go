// Package asynclog writes log lines without ever blocking the caller.
package asynclog

import (
	"io"
	"sync/atomic"
)

// queueCapacity is the maximum number of lines waiting to be written. It holds a few
// seconds of log lines of a busy process, about 1 MB.
const queueCapacity = 4096

// Writer writes lines to another writer in the background. Lines are dropped and
// counted when the queue is full.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			if _, err := out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		}
	}()
	return w
}

// Write queues a copy of a line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	lineCopy := append([]byte(nil), line...)
	select {
	case w.lines <- lineCopy:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since waiting for the queued lines would block the caller.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. Write must not be called after it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
