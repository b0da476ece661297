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

// maxMessage bounds a control message in bytes. A configuration part holds at
// most 1 MB; base64 and several parts in one reply fit in 4 MB.
const maxMessage = 4 << 20

// boundedCodec frames JSON messages by a varint length and refuses long ones
// before it allocates memory for them.
type boundedCodec struct{}

// WriteObject writes one message.
func (boundedCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessage {
		return fmt.Errorf("message of %d bytes exceeds %d", len(data), maxMessage)
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
	if size > maxMessage {
		return fmt.Errorf("message of %d bytes exceeds %d", size, maxMessage)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// writeTimeout closes a control connection whose peer accepts nothing for so
// long; the next call dials a fresh one.
const writeTimeout = time.Second

// deadlineConn bounds each write and counts bytes for the metrics.
type deadlineConn struct {
	net.Conn
	count *Traffic
}

// Read counts the bytes received.
func (c deadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Received.Add(uint64(n))
	return n, err
}

// Write sets a deadline and counts the bytes sent.
func (c deadlineConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	c.count.Sent.Add(uint64(n))
	return n, err
}
