package fleet

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a malformed message that causes a panic, and against a length prefix
// above the limit that causes an unlimited allocation.
func FuzzBoundedCodec(f *testing.F) {
	var whole bytes.Buffer
	_ = boundedCodec{}.WriteObject(&whole, envelope{Version: 1, From: "host-1", Message: json.RawMessage(`{"a":1}`)})
	f.Add(whole.Bytes())
	f.Add(binary.AppendUvarint(nil, maxMessageSize+1))
	f.Add([]byte{0x05, '{', '}'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var env envelope
		err := boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &env)
		size, n := binary.Uvarint(data)
		if n > 0 && size > maxMessageSize && err == nil {
			t.Fatalf("accepted a message of %d bytes", size)
		}
	})
}

// Guards against requests from other processes that are accepted although required
// fields are missing, and against fleet headers that reach a backend server.
func FuzzDecodeRequest(f *testing.F) {
	f.Add("1", "id", "1000", "roster", "roster-1", "blue")
	f.Add("9", "", "-1", "", "", "")
	f.Fuzz(func(t *testing.T, version, id, timeout, service, backend, team string) {
		r := httptest.NewRequest("POST", "/bookings", strings.NewReader("x"))
		r.Header = http.Header{
			headerHop: {version}, headerAttemptID: {id}, headerTimeout: {timeout},
			headerService: {service}, headerBackend: {backend}, headerTeam: {team},
		}
		hop, refusal := decodeRequest(r, time.Unix(0, 0))
		if (hop == nil) == (refusal == nil) {
			t.Fatal("decodeRequest must return either a request or a refusal")
		}
		if hop == nil {
			return
		}
		if hop.Request.ID == "" || hop.Request.Service == "" || hop.Backend == "" {
			t.Fatalf("accepted an incomplete request %+v", hop.Request)
		}
		for name := range hop.Request.Header {
			if strings.HasPrefix(name, headerPrefix) {
				t.Fatalf("header %s reaches the backend server", name)
			}
		}
	})
}
