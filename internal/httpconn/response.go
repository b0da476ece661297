package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Head is the status line and header of a response.
type Head struct {
	Version string // "HTTP/1.1"
	Status  int
	Header  http.Header
	Chunked bool // the body is sent in chunks
}

// Check returns an error for a head that net/http accepts although HTTP/1.1 does not permit
// it, or that switches to a protocol that no request asked for.
func (h Head) Check() error {
	switch {
	case h.Version != "HTTP/1.1" && h.Version != "HTTP/1.0":
		return fmt.Errorf("unsupported protocol version %q", h.Version)
	case h.Status < 100 || h.Status > 599:
		return fmt.Errorf("the status %03d is not between 100 and 599", h.Status)
	case h.Status == http.StatusSwitchingProtocols:
		return errors.New("unrequested switch of the protocol")
	}
	if err := CheckNames(h.Header); err != nil {
		return err
	}
	if h.Status >= 200 && h.Status != http.StatusNoContent {
		return nil
	}
	// Some servers send these statuses with a length of 0, which is unambiguous.
	if length := h.Header.Get("Content-Length"); h.Chunked || (length != "" && length != "0") {
		return fmt.Errorf("a response with status %d has no body", h.Status)
	}
	return nil
}

// CheckResponse returns an error for a response that net/http has read although HTTP/1.1 does not
// permit its head or a name that it announces for its trailer.
func CheckResponse(resp *http.Response) error {
	h := Head{Version: resp.Proto, Status: resp.StatusCode, Header: resp.Header, Chunked: len(resp.TransferEncoding) > 0}
	if err := h.Check(); err != nil {
		return err
	}
	return CheckNames(resp.Trailer)
}

// CheckNames returns an error if the name of a header or trailer field is not a token (RFC 9110,
// section 5.6.2). net/textproto accepts spaces, so that "Content-Length : 1" would be a field of
// unknown meaning, and net/http accepts any name that a Trailer field announces.
func CheckNames(header http.Header) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, isNoTokenChar) {
			return fmt.Errorf("malformed field name %q", name)
		}
	}
	return nil
}

func isNoTokenChar(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9', r == '-':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+.^_`|~", r)
}

// IsFinal reports whether a status is that of a final response.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }

// head is the head of a response with the framing of its body.
type head struct {
	Head
	length int64 // of the body; -1 if chunks or the end of the connection mark its end
	closes bool  // the connection carries no further response
}

// readHead reads the head of the response to a request with a method. http.ReadResponse is
// not used: it accepts responses with two framings and removes the fields that show it.
func readHead(reader *bufio.Reader, method string) (head, error) {
	text := textproto.NewReader(reader)
	line, err := text.ReadLine()
	if err != nil {
		return head{}, err
	}
	var h head
	if h.Version, h.Status, err = parseStatusLine(line); err != nil {
		return head{}, err
	}
	fields, err := text.ReadMIMEHeader()
	if err != nil {
		return head{}, err
	}
	h.Header = http.Header(fields)
	h.Chunked = len(fields["Transfer-Encoding"]) > 0
	if err := h.Check(); err != nil {
		return head{}, err
	}
	return h, h.setFraming(method)
}

// parseStatusLine splits a status line. The reason may be missing.
func parseStatusLine(line string) (version string, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if len(code) != 3 || strings.Trim(code, "0123456789") != "" || strings.ContainsFunc(reason, isControl) {
		return "", 0, fmt.Errorf("malformed status line %.80q", line)
	}
	status, err = strconv.Atoi(code)
	return version, status, err
}

func isControl(r rune) bool { return r != '\t' && (r < ' ' || r == 0x7f) }

// setFraming determines the end of the body. A response whose fields permit several ends is
// invalid (RFC 9112, section 6.3).
func (h *head) setFraming(method string) error {
	var err error
	if h.length, err = contentLength(h.Header["Content-Length"]); err != nil {
		return err
	}
	if h.Chunked {
		if encoding := h.Header["Transfer-Encoding"]; len(encoding) != 1 || !strings.EqualFold(encoding[0], "chunked") {
			return fmt.Errorf("unsupported transfer encoding %q", encoding)
		}
		if h.Version == "HTTP/1.0" || h.length >= 0 {
			return errors.New("chunks in HTTP/1.0 or together with a length")
		}
		for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer"} {
			if hasToken(h.Header["Trailer"], name) {
				return fmt.Errorf("%s is announced as a trailer field", name)
			}
		}
	}
	h.closes = hasToken(h.Header["Connection"], "close") || (h.Version == "HTTP/1.0" && !hasToken(h.Header["Connection"], "keep-alive"))
	switch {
	case method == http.MethodHead || h.Status < 200 || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified:
		h.length, h.Chunked = 0, false
	case h.length < 0 && !h.Chunked:
		h.closes = true
	}
	return nil
}

// contentLength returns the declared length, or -1 if there is none. Repetitions of the
// same value are accepted.
func contentLength(values []string) (int64, error) {
	if len(values) == 0 {
		return -1, nil
	}
	first := textproto.TrimString(values[0])
	for _, value := range values[1:] {
		if textproto.TrimString(value) != first {
			return 0, fmt.Errorf("differing lengths %q", values)
		}
	}
	length, err := strconv.ParseUint(first, 10, 63)
	return int64(length), err
}

// hasToken reports whether comma-separated lists contain a token, in any case.
func hasToken(lists []string, token string) bool {
	for _, list := range lists {
		for element := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(textproto.TrimString(element), token) {
				return true
			}
		}
	}
	return false
}

// chunkedHead lets net/http decode chunks, which it does for whole responses only.
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// readChunked reads a body in chunks with read, and then its trailer, whose fields are
// dropped.
func (c *conn) readChunked(read func(body io.Reader) ([]byte, error)) ([]byte, error) {
	before := c.reader
	c.reader = bufio.NewReaderSize(io.MultiReader(strings.NewReader(chunkedHead), before), bufferBytes)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := read(resp.Body)
	if err != nil {
		return nil, err
	}
	if c.reader.Buffered() == 0 {
		c.reader = before
	}
	return body, CheckNames(resp.Trailer)
}
