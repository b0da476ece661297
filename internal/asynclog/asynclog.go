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
	closing chan struct{}
	done    chan struct{}
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case <-w.closing:
			w.writeQueued(out)
			return
		}
	}
}

// writeQueued writes the lines that are in the queue.
func (w *Writer) writeQueued(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		default:
			return
		}
	}
}

func (w *Writer) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
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

// Close writes the queued lines and stops the writer. Later lines are not written. It must
// be called once.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}
