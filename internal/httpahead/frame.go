package httpahead

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxScannedHeadBytes limits the copy of a head that arrives in pieces.
	maxScannedHeadBytes = 16 << 10
	// maxLengthDigits and maxChunkSizeDigits keep lengths within 64 bits.
	maxLengthDigits    = 15
	maxChunkSizeDigits = 8
)

// head describes the framing of a request.
type head struct {
	size    int   // bytes of the head, with the empty line
	length  int64 // bytes of the body if it is not chunked
	chunked bool
	last    bool // the caller asks to close the connection after the answer
}

// headState is the result of scanHead.
type headState uint8

const (
	headIncomplete headState = iota
	headComplete
	// headUnclear means that net/http could see a different end of the request, or that the
	// connection could leave the protocol.
	headUnclear
)

// scanHead finds the end of the head at the beginning of b and how long its body is. It
// accepts only what every parser of HTTP/1.1 reads the same way.
func scanHead(b []byte) (head, headState) {
	h := head{}
	framed := false
	for first := true; ; first = false {
		end := bytes.IndexByte(b[h.size:], '\n')
		if end < 0 {
			return h, headIncomplete
		}
		line, terminated := bytes.CutSuffix(b[h.size:h.size+end], []byte{'\r'})
		h.size += end + 1
		switch {
		case !terminated || (first && !isRequestLine(line)):
			return h, headUnclear
		case len(line) == 0:
			return h, headComplete
		case !first && !h.addField(line, &framed):
			return h, headUnclear
		}
	}
}

func isRequestLine(line []byte) bool {
	return bytes.HasSuffix(line, []byte(" HTTP/1.1")) && !bytes.HasPrefix(line, []byte("CONNECT "))
}

// addField takes a header field into account. It returns false if the framing is unclear.
func (h *head) addField(line []byte, framed *bool) bool {
	switch line[0] {
	case 'c', 'C', 'e', 'E', 't', 'T', 'u', 'U':
	case ' ', '\t':
		return false // a folded line may belong to any field
	default:
		return true
	}
	name, text, found := bytes.Cut(line, []byte{':'})
	if !found || len(name) != len(bytes.TrimRight(name, " \t")) {
		return false
	}
	value := strings.ToLower(string(bytes.Trim(text, " \t")))
	switch strings.ToLower(string(name)) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 63)
		unique := !*framed
		*framed = true
		h.length = int64(length)
		return unique && err == nil && len(value) <= maxLengthDigits
	case "transfer-encoding":
		unique := !*framed
		*framed, h.chunked = true, true
		return unique && value == "chunked"
	case "connection":
		h.last = h.last || value == "close"
		return value == "close" || value == "keep-alive"
	case "expect", "upgrade":
		return false
	}
	return true
}

// frame follows the bytes of one request to its end.
type frame struct {
	state frameState
	head  head
	text  []byte // of a head or a chunk size that is incomplete
	left  int64  // bytes left of the body or the chunk
}

type frameState uint8

const (
	inHead frameState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd // expects the empty line after the last chunk
	complete
	unclear // the end is not known, nor is that of any later request
)

// scan takes the next bytes and returns how many of them belong to the request.
func (f *frame) scan(b []byte) int {
	n := 0
	for n < len(b) && f.state != complete && f.state != unclear {
		n += f.step(b[n:])
	}
	if f.state == unclear {
		f.text = nil
		return len(b)
	}
	return n
}

func (f *frame) step(b []byte) int {
	switch f.state {
	case inHead:
		return f.scanHead(b)
	case inBody, inChunk:
		n := min(f.left, int64(len(b)))
		f.left -= n
		if f.left == 0 && f.state == inBody {
			f.state = complete
		} else if f.left == 0 {
			f.state = inChunkSize
		}
		return int(n)
	default:
		return f.scanChunkLine(b)
	}
}

// scanHead continues the head with b.
func (f *frame) scanHead(b []byte) int {
	before := len(f.text)
	text := b
	if before > 0 {
		text = append(f.text, b...)
	}
	h, state := head{}, headIncomplete
	if before == 0 || bytes.IndexByte(b, '\n') >= 0 {
		h, state = scanHead(text)
	}
	switch {
	case state == headUnclear || (state == headIncomplete && len(text) > maxScannedHeadBytes):
		f.state = unclear
	case state == headIncomplete:
		if before == 0 {
			text = bytes.Clone(b)
		}
		f.text = text
	default:
		f.text, f.head, f.left = nil, h, h.length
		f.state = complete
		if h.chunked {
			f.state = inChunkSize
		} else if h.length > 0 {
			f.state = inBody
		}
		return h.size - before
	}
	return len(b)
}

// scanChunkLine continues the line of a chunk's size, or the one that ends the last chunk.
func (f *frame) scanChunkLine(b []byte) int {
	n := len(b)
	end := bytes.IndexByte(b, '\n')
	if end >= 0 {
		n = end + 1
	}
	f.text = append(f.text, b[:n]...)
	if len(f.text) > maxChunkSizeDigits+2 {
		f.state = unclear
		return n
	}
	if end < 0 {
		return n
	}
	line, terminated := strings.CutSuffix(string(f.text), "\r\n")
	f.text = f.text[:0]
	size, err := strconv.ParseUint(line, 16, 63)
	switch {
	case f.state == inChunkEnd && terminated && line == "":
		f.state, f.text = complete, nil
	case f.state == inChunkEnd || !terminated || err != nil:
		f.state = unclear
	case size == 0:
		f.state = inChunkEnd
	default:
		f.state, f.left = inChunk, int64(size)+2 // with the line end
	}
	return n
}
