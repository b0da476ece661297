package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/config"
	"github.com/ragwortyard/ragwortyard/internal/fakes"
)

// extraAnswerBytes makes answers large enough that the first half has left the exit
// before the connection is cut.
const extraAnswerBytes = 200_000

// startAnswerFleet starts three processes in front of one service whose requests take
// 20 ms.
func startAnswerFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := StartFleet(context.Background(), FleetSpec{
		Zones: []string{"a", "b"},
		Services: []ServiceSpec{{
			Name: "lookup", Servers: 3, ServiceTime: fakes.FixedTime(20 * time.Millisecond), Worth: 1,
		}},
		Teams: []config.Team{NewTeam("blue", "blue-secret", 5000, 5000)},
		Floor: 0.5,
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// fetch sends a request whose answer echoes it, and returns the answer and any error of
// sending the request or reading the answer.
func fetch(entry, id string, header map[string]string) (resp *http.Response, body []byte, err error) {
	req, err := http.NewRequest("POST", entry+"/lookup/"+id, strings.NewReader("capsule "+id))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer blue-secret")
	req.Header.Set("X-Request-Id", id)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err = http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp, body, err
}

// checkAnswer returns an error if the response is neither the complete answer to the
// request nor a refusal with a result code.
func checkAnswer(id string, resp *http.Response, body []byte) error {
	if resp.Header.Get("Ragwort-Outcome") != "answered" {
		if resp.Header.Get("Ragwort-Code") == "" || resp.StatusCode < 400 {
			return fmt.Errorf("neither an answer nor a coded refusal: status %d", resp.StatusCode)
		}
		return nil
	}
	_, rest, _ := strings.Cut(string(body), " ")
	want := fmt.Sprintf("%s POST /lookup/%s\ncapsule %s", id, id, id)
	if !strings.HasPrefix(rest, want) {
		return fmt.Errorf("answer begins with %.60q, want %q", rest, want)
	}
	if len(rest) != len(want)+extraAnswerBytes {
		return fmt.Errorf("%d of %d bytes presented as a whole answer", len(rest), len(want)+extraAnswerBytes)
	}
	return nil
}

// Guards against a partial answer that is presented as complete, and against delivering
// the answer of another request. A third of the backend servers' answers are cut and a
// third of the requests have a deadline that is too short, both with a Content-Length
// and with chunked encoding.
func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	f := startAnswerFleet(t)
	for _, m := range f.Members {
		m.Backend.UpdateBehavior(func(b *fakes.Behavior) { b.TruncateShare = 1.0 / 3 })
	}
	var running sync.WaitGroup
	var mu sync.Mutex // guards the counts
	whole, failed := 0, 0
	for caller := range 12 {
		running.Go(func() {
			for i := range 20 {
				id := fmt.Sprintf("%d-%d", caller, i)
				header := map[string]string{"X-Answer-Bytes": fmt.Sprint(extraAnswerBytes)}
				if i%2 == 0 {
					header["X-Answer-Chunked"] = "1"
				}
				if i%3 == 0 {
					header["Ragwort-Timeout-Ms"] = "10" // the answer comes late
				}
				resp, body, err := fetch(f.Members[i%3].CallersURL(), id, header)
				mu.Lock()
				switch {
				case err != nil:
					failed++
				case checkAnswer(id, resp, body) != nil:
					t.Errorf("request %s: %v", id, checkAnswer(id, resp, body))
				case resp.Header.Get("Ragwort-Outcome") == "answered":
					whole++
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	if whole == 0 || failed == 0 {
		t.Errorf("%d whole answers and %d cut ones; the test needs both", whole, failed)
	}
}
