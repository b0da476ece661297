package fleet

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

// maxMessageSize is the maximum size of a control message in bytes. A configuration
// part holds at most 1 MB; a reply with several base64-encoded parts fits in 4 MB.
const maxMessageSize = 4 << 20

// boundedCodec frames JSON messages with a varint length prefix. It rejects messages
// larger than maxMessageSize before it allocates memory for them.
type boundedCodec struct{}

// WriteObject writes one message.
func (boundedCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessageSize {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d bytes", len(data), maxMessageSize)
	}
	var prefix [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(prefix[:], uint64(len(data)))
	if _, err := stream.Write(prefix[:n]); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject reads one message.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageSize {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d bytes", size, maxMessageSize)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// writeTimeout limits each write to a control connection. A connection whose write
// times out is closed; the next call opens a new one.
const writeTimeout = time.Second

// deadlineConn limits the duration of each write and counts bytes for the metrics.
type deadlineConn struct {
	net.Conn
	stats *ControlStats
}

// Read reads from the connection and counts the bytes received.
func (c deadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.ReceivedBytes.Add(uint64(n))
	return n, err
}

// Write sets a write deadline, writes, and counts the bytes sent.
func (c deadlineConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	c.stats.SentBytes.Add(uint64(n))
	return n, err
}
