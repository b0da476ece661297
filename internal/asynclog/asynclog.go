// Package asynclog writes log lines without ever blocking the caller.
package asynclog

import (
	"io"
	"sync/atomic"
)

// queued bounds the lines that wait to be written: some seconds of a busy
// process, about 1 MB.
const queued = 4096

// Writer passes lines to another writer in the background. Lines that find the
// queue full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queued), done: make(chan struct{})}
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

// Write queues a copy of a line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: waiting for the lines would block.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends. No line may be written after it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}
