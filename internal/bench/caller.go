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

// call sends one request, reads the whole answer and returns how long that took;
// false when there was no whole answer of status 200.
func (c *caller) call() (time.Duration, bool) {
	req, err := http.NewRequest(http.MethodGet, c.url, nil)
	if err != nil {
		return 0, false
	}
	req.Header["Authorization"] = []string{"Bearer " + key}
	req.Header["X-Answer-Bytes"] = []string{answerBytes}
	req.Header["User-Agent"] = []string{"ragwortyard-bench"}
	began := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return time.Since(began), err == nil && resp.StatusCode == http.StatusOK && n == resp.ContentLength
}
