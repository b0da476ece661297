package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"golang.org/x/sync/semaphore"
)

const twoBytes = "Content-Length: 2\r\n\r\nab"

// invalidResponses are responses, by fault, to a GET request.
var invalidResponses = map[string]string{
	"status 000":                    "HTTP/1.1 000 \r\n" + twoBytes,
	"status 099":                    "HTTP/1.1 099 Low\r\n" + twoBytes,
	"status 600":                    "HTTP/1.1 600 High\r\n" + twoBytes,
	"status 999":                    "HTTP/1.1 999 High\r\n" + twoBytes,
	"sign in the status":            "HTTP/1.1 +99 OK\r\n" + twoBytes,
	"sign before the status":        "HTTP/1.1 +200 OK\r\n" + twoBytes,
	"status of two digits":          "HTTP/1.1 20 OK\r\n" + twoBytes,
	"status of four digits":         "HTTP/1.1 2000 OK\r\n" + twoBytes,
	"two spaces before the status":  "HTTP/1.1  200 OK\r\n" + twoBytes,
	"tab after the status":          "HTTP/1.1 200\tOK\r\n" + twoBytes,
	"control byte in the reason":    "HTTP/1.1 200 O\x00K\r\n" + twoBytes,
	"HTTP/2.0":                      "HTTP/2.0 200 OK\r\n" + twoBytes,
	"HTTP/1.2":                      "HTTP/1.2 200 OK\r\n" + twoBytes,
	"HTTP/0.9":                      "HTTP/0.9 200 OK\r\n" + twoBytes,
	"lower case":                    "http/1.1 200 OK\r\n" + twoBytes,
	"ICY":                           "ICY 200 OK\r\n" + twoBytes,
	"empty first line":              "\r\nHTTP/1.1 200 OK\r\n" + twoBytes,
	"no colon":                      "HTTP/1.1 200 OK\r\nId\r\n" + twoBytes,
	"space in a name":               "HTTP/1.1 200 OK\r\nAttempt Id: 1\r\n" + twoBytes,
	"space before the colon":        "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n" + twoBytes,
	"space before the first name":   "HTTP/1.1 200 OK\r\n Id: 1\r\n" + twoBytes,
	"tab in a name":                 "HTTP/1.1 200 OK\r\nAttempt\tId: 1\r\n" + twoBytes,
	"tab before the colon":          "HTTP/1.1 200 OK\r\nContent-Length\t: 1\r\n" + twoBytes,
	"zero byte in a name":           "HTTP/1.1 200 OK\r\nContent-Length\x00: 1\r\n" + twoBytes,
	"carriage return in a name":     "HTTP/1.1 200 OK\r\nContent-\rLength: 1\r\n" + twoBytes,
	"control byte in a name":        "HTTP/1.1 200 OK\r\n\x1bId: 1\r\n" + twoBytes,
	"delete byte in a name":         "HTTP/1.1 200 OK\r\nI\x7fd: 1\r\n" + twoBytes,
	"byte above 0x7f in a name":     "HTTP/1.1 200 OK\r\nI\xa0d: 1\r\n" + twoBytes,
	"chunks with a space":           "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"empty name":                    "HTTP/1.1 200 OK\r\n: 1\r\n" + twoBytes,
	"zero byte in a value":          "HTTP/1.1 200 OK\r\nId: 1\x002\r\n" + twoBytes,
	"carriage return in a value":    "HTTP/1.1 200 OK\r\nId: 1\rA: 2\r\n" + twoBytes,
	"differing lengths":             "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + twoBytes,
	"list of lengths":               "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab",
	"sign in the length":            "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab",
	"empty length":                  "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
	"length beyond 63 bits":         "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n",
	"length and chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"other encoding":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"encoding twice":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"chunk without an end":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
	"malformed trailer":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nId\r\n\r\n",
	"space in a trailer name":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA b: 1\r\n\r\n",
	"control byte in a trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA\x01b: 1\r\n\r\n",
	"tab in a trailer name":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA\tb: 1\r\n\r\n",
	"trailer with a length":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n0\r\n\r\n",
	"body of 204":                   "HTTP/1.1 204 No Content\r\n" + twoBytes,
	"chunks of 204":                 "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"body of 103":                   "HTTP/1.1 103 Early Hints\r\n" + twoBytes + "HTTP/1.1 200 OK\r\n" + twoBytes,
	"chunks of 103":                 "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n" + twoBytes,
	"101 not asked for":             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nHTTP/1.1 200 OK\r\n" + twoBytes,
	"interim responses without end": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000),
}

// validResponses are responses to a GET request, each with its body "ab" or "".
var validResponses = map[string]string{
	"length":               "HTTP/1.1 200 OK\r\n" + twoBytes,
	"same length twice":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + twoBytes,
	"no reason":            "HTTP/1.1 200\r\n" + twoBytes,
	"HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + twoBytes,
	"status 599":           "HTTP/1.1 599 \xfcber\r\n" + twoBytes,
	"line feeds only":      "HTTP/1.1 200 OK\nContent-Length: 2\n\nab",
	"folded value":         "HTTP/1.1 200 OK\r\nId: 1\r\n  2\r\n" + twoBytes,
	"end of the channel":   "HTTP/1.1 200 OK\r\n\r\nab",
	"chunks and a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1;x=y\r\na\r\n1\r\nb\r\n0\r\nId: 2\r\n\r\n",
	"after interim":        "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + twoBytes,
	"204":                  "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
	"304":                  "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
	"closing":              "HTTP/1.1 200 OK\r\nConnection: x, Close\r\n" + twoBytes,
	"extra bytes":          "HTTP/1.1 200 OK\r\n" + twoBytes + "HTTP/1.1",
}

// decode reads the response to a request with a method from a connection that ends after
// the bytes. It returns the number of bytes that it left on the connection.
func decode(method string, in io.Reader) (resp *Response, reusable bool, left int, err error) {
	limited := &limitedReader{reader: in}
	c := &conn{reader: bufio.NewReaderSize(limited, bufferBytes), headerLimit: limited, largeBodies: semaphore.NewWeighted(maxBodyBytes)}
	resp, reusable, err = c.receive(context.Background(), &Exchange{Request: &http.Request{Method: method}})
	rest, _ := io.Copy(io.Discard, c.reader)
	return resp, reusable, int(rest), err
}

// Guards against bytes that are no response, or one of unclear length, taken for a response.
func TestInvalidHeadsAndFramingsAreInvalidResponses(t *testing.T) {
	for name, text := range invalidResponses {
		resp, _, _, err := decode(http.MethodGet, strings.NewReader(text))
		var failure *Error
		if !errors.As(err, &failure) || failure.Kind != InvalidResponse {
			t.Errorf("%s: response %+v, error %v", name, resp, err)
		}
	}
}

// Guards against valid responses that are refused, and against reuse after an inexact end.
func TestValidResponsesAreDelivered(t *testing.T) {
	for name, text := range validResponses {
		want, wantReusable := "ab", true
		switch name {
		case "204", "304":
			want = ""
		case "HTTP/1.0", "end of the channel", "closing", "extra bytes":
			wantReusable = false
		}
		resp, reusable, _, err := decode(http.MethodGet, strings.NewReader(text))
		if err != nil || string(resp.Body) != want || reusable != wantReusable {
			t.Errorf("%s: response %+v, reusable %t, error %v", name, resp, reusable, err)
		}
	}
}

// Guards against a response that panics, is no final one, has a body where none may be or
// other bytes than were sent, and against reuse of a connection with an inexact end.
func FuzzResponses(f *testing.F) {
	for _, texts := range []map[string]string{invalidResponses, validResponses} {
		for _, text := range texts {
			f.Add([]byte(text), false)
		}
	}
	f.Add([]byte(validResponses["length"][:len(validResponses["length"])-2]), true)
	f.Fuzz(func(t *testing.T, sent []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		resp, reusable, left, err := decode(method, bytes.NewReader(sent))
		slow, slowReusable, _, slowErr := decode(method, iotest.OneByteReader(bytes.NewReader(sent)))
		if (err == nil) != (slowErr == nil) {
			t.Fatalf("error %v, in single bytes %v", err, slowErr)
		}
		if err != nil {
			return
		}
		if resp.Status < 200 || resp.Status > 599 {
			t.Fatalf("status %d", resp.Status)
		}
		if noBody := head || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified; noBody && len(resp.Body) > 0 {
			t.Fatalf("body %q", resp.Body)
		}
		if len(resp.Body)+left > len(sent) || slow.Status != resp.Status || !bytes.Equal(slow.Body, resp.Body) {
			t.Fatalf("status %d, body %q, %d bytes left; in single bytes %d, %q", resp.Status, resp.Body, left, slow.Status, slow.Body)
		}
		exact := sent[:len(sent)-left]
		if _, _, _, err := decode(method, bytes.NewReader(exact[:len(exact)-1])); (reusable || slowReusable) && err == nil {
			t.Fatal("reusable, although the response ended before its last byte")
		}
		if reusable && left > 0 && len(sent) <= bufferBytes {
			t.Fatalf("reusable with %d more bytes", left)
		}
		checkAgainstLibrary(t, method, sent, resp)
	})
}

// checkAgainstLibrary checks that net/http accepts a response, with the same body.
func checkAgainstLibrary(t *testing.T, method string, sent []byte, resp *Response) {
	reader := bufio.NewReader(bytes.NewReader(sent))
	for {
		want, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("net/http refuses it: %v", err)
		}
		if want.StatusCode < 200 {
			continue
		}
		if body, err := io.ReadAll(want.Body); err != nil || want.StatusCode != resp.Status || !bytes.Equal(body, resp.Body) {
			t.Fatalf("net/http reads status %d, body %q, %v; want %d, %q", want.StatusCode, body, err, resp.Status, resp.Body)
		}
		return
	}
}
