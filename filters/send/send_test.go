package send

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/httpfront"
	"github.com/ragwortyard/ragwortyard/internal/httpsend"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// handle sends a request to a backend server that responds with a text. The observed outcomes
// are complete once the request is.
func handle(t *testing.T, text string) (req *pipeline.Request, result *pipeline.Result, outcomes *[]CallOutcome) {
	transport := httpsend.NewBackendTransport()
	t.Cleanup(transport.CloseIdleConnections)
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = io.WriteString(server, text)
			}
		}()
		return client, nil
	}
	outcomes = new([]CallOutcome)
	filter := &Filter{
		Addr: "backend", Transport: transport, Reachable: func(string) bool { return true },
		Started: func(uint64, string, time.Time) {}, Observe: func(o Observation) { *outcomes = append(*outcomes, o.Outcome) },
	}
	req = &pipeline.Request{ID: "1", Method: http.MethodGet, Path: "/", Deadline: time.Now().Add(5 * time.Second)}
	return req, filter.Handle(t.Context(), req), outcomes
}

// exchange is handle for a text whose body, if it is passed on, is "ab". It completes the request.
func exchange(t *testing.T, text string) (*pipeline.Result, []CallOutcome) {
	req, result, outcomes := handle(t, text)
	body := ""
	if result.Body != nil {
		read, err := io.ReadAll(result.Body)
		if err != nil {
			t.Fatal(err)
		}
		body = string(read)
	}
	req.Complete(pipeline.Completion{Outcome: result.Outcome, Code: result.Code, Status: result.Status})
	if result.Outcome == pipeline.Answered && body != "ab" {
		t.Errorf("%q: body %q", text, body)
	}
	return result, *outcomes
}

const twoBytes = "Content-Length: 2\r\n\r\nab"

// Guards against an invalid response passed on as an answer or counted as a success.
func TestInvalidResponsesAreFailures(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                     "HTTP/1.1 000 \r\n" + twoBytes,
		"status 000, shed":               "HTTP/1.1 000 \r\nX-Shed: 1\r\n" + twoBytes,
		"status 099":                     "HTTP/1.1 099 \r\n" + twoBytes,
		"status 600":                     "HTTP/1.1 600 \r\n" + twoBytes,
		"HTTP/2.0":                       "HTTP/2.0 200 OK\r\n" + twoBytes,
		"101 not asked for":              "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nab",
		"space before the colon":         "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n" + twoBytes,
		"tab in a name":                  "HTTP/1.1 200 OK\r\nContent\tLength: 1\r\n" + twoBytes,
		"control byte in a name":         "HTTP/1.1 200 OK\r\nContent-Length\x01: 1\r\n" + twoBytes,
		"announced trailer with a space": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X Y\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"announced trailer with a tab":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\tY\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"announced trailer above 0x7f":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\xa0Y\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"body of 204":                    "HTTP/1.1 204 No Content\r\n" + twoBytes,
		"chunks of 204":                  "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"interim responses without end":  strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 10000),
	} {
		result, outcomes := exchange(t, text)
		if result.Outcome != pipeline.Unknown || len(outcomes) != 1 || (outcomes[0] != ServerFailed && outcomes[0] != Crashed) {
			t.Errorf("%s: %+v, outcomes %v", name, result, outcomes)
		}
	}
	if result, outcomes := exchange(t, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n"+twoBytes); result.Outcome != pipeline.Answered || outcomes[0] != Served {
		t.Errorf("valid response: %+v, outcomes %v", result, outcomes)
	}
}

// Guards against trailer fields with which a backend server speaks for the fleet.
func TestReservedTrailersAreDropped(t *testing.T) {
	result, _ := exchange(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Ragwort-Code, X-Kept\r\n\r\n2\r\nab\r\n0\r\nRagwort-Code: 1\r\nConnection: x\r\nX-Kept: 1\r\n\r\n")
	if trailer := result.Trailer(); len(result.TrailerNames) != 1 || len(trailer) != 1 || trailer["X-Kept"][0] != "1" {
		t.Errorf("names %v, trailer %v", result.TrailerNames, trailer)
	}
}

// Guards against an answer that ends as whole although a line of its trailer is malformed and lost.
func TestMalformedTrailersCutTheAnswer(t *testing.T) {
	for _, line := range []string{"X Y: 1", "X-Y : 1", "X\tY: 1", "X\x01Y: 1", "X"} {
		req, result, outcomes := handle(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Y\r\n\r\n2\r\nab\r\n0\r\n"+line+"\r\n\r\n")
		recorder := httptest.NewRecorder()
		func() {
			defer func() {
				if recover() != http.ErrAbortHandler {
					t.Errorf("%q: not aborted, %+v", line, recorder)
				}
			}()
			httpfront.Respond(recorder, result, req.Complete)
		}()
		if len(*outcomes) != 1 || (*outcomes)[0] != ServerFailed {
			t.Errorf("%q: outcomes %v", line, *outcomes)
		}
	}
}
