package bench

import (
	"io"
	"net/http"
	"time"
)

// callTimeout ends a call that got no answer; it is longer than the deadline of
// the class.
const callTimeout = 5 * time.Second

// answerBytes is the size of the answers beyond the few words of the stand-in:
// about that of a looked-up record.
const answerBytes = "1024"

// maxIdle keeps connections open over a burst of the open loop, so that no call
// pays for a new one.
const maxIdle = 256

// caller sends the same request again and again to one address.
type caller struct {
	client *http.Client
	url    string
}

func newCaller(base string) *caller {
	return &caller{
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle, DisableCompression: true},
		},
		url: base + "/" + service + "/item?id=1",
	}
}

// Failures other than result codes.
const (
	noAnswer  = "no answer"
	badAnswer = "cut answer or bad status"
)

// call sends one request, reads the whole answer and returns how long that took.
// The second value says why there was no whole answer of status 200: the result
// code of a refusal, or another reason; it is empty otherwise.
func (c *caller) call() (time.Duration, string) {
	req, err := http.NewRequest(http.MethodGet, c.url, nil)
	if err != nil {
		return 0, noAnswer
	}
	req.Header["Authorization"] = []string{"Bearer " + key}
	req.Header["X-Answer-Bytes"] = []string{answerBytes}
	req.Header["User-Agent"] = []string{"ragwortyard-bench"}
	began := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, noAnswer
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	took := time.Since(began)
	switch code := resp.Header.Get("Ragwort-Code"); {
	case err == nil && resp.StatusCode == http.StatusOK && n == resp.ContentLength:
		return took, ""
	case code != "":
		return took, code
	default:
		return took, badAnswer
	}
}
