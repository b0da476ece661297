package bench

import (
	"io"
	"net/http"
	"time"
)

// callTimeout ends a call without an answer; it exceeds the deadline of the request
// class.
const callTimeout = 5 * time.Second

// extraAnswerBytes is the number of bytes that the fake backend server adds to its
// short answer, so that an answer has about the size of a looked-up record.
const extraAnswerBytes = "1024"

// maxIdleConns keeps connections open during a burst of the open loop, so that no call
// includes the time to set up a connection.
const maxIdleConns = 256

// caller sends the same request repeatedly to one address.
type caller struct {
	client *http.Client
	url    string
}

func newCaller(base string) *caller {
	return &caller{
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true},
		},
		url: base + "/" + serviceName + "/item?id=1",
	}
}

// Failures other than result codes.
const (
	noAnswer  = "no answer"
	badAnswer = "cut answer or bad status"
)

// call sends one request, reads the whole answer and returns the latency. The second
// result is empty if a complete answer of status 200 arrived; otherwise it is the
// result code of a refusal, or another reason.
func (c *caller) call() (time.Duration, string) {
	req, err := http.NewRequest(http.MethodGet, c.url, nil)
	if err != nil {
		return 0, noAnswer
	}
	req.Header["Authorization"] = []string{"Bearer " + apiKey}
	req.Header["X-Answer-Bytes"] = []string{extraAnswerBytes}
	req.Header["User-Agent"] = []string{"ragwortyard-bench"}
	started := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, noAnswer
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	latency := time.Since(started)
	switch code := resp.Header.Get("Ragwort-Code"); {
	case err == nil && resp.StatusCode == http.StatusOK && n == resp.ContentLength:
		return latency, ""
	case code != "":
		return latency, code
	default:
		return latency, badAnswer
	}
}
