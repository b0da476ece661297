//go:build review

package bed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// scenarios are the cases by name. Each returns what breaks the rule; nothing if it held.
var scenarios = map[string]func(b *bed, trouble bool) []string{}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// TestMain runs the scenario that REVIEW_CASE names. REVIEW_RECORD is the path of the record
// and REVIEW_DIR a folder for temporary files; TROUBLE=0 leaves the disruption out.
func TestMain(*testing.M) { os.Exit(runCase()) }

func runCase() (code int) {
	scenario := scenarios[os.Getenv("REVIEW_CASE")]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "REVIEW_CASE names no case")
		return unable
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record := newRecorder(os.Getenv("REVIEW_RECORD"))
	b := newBed(record, os.Getenv("REVIEW_DIR"))
	defer b.close()
	defer func() {
		if cause := recover(); cause != nil {
			stop, ok := cause.(stopCase)
			if !ok {
				b.close()
				panic(cause)
			}
			record.printf("the case could not run: %v", stop.err)
			fmt.Fprintln(os.Stderr, stop.err)
			code = unable
		}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-ended:
		case <-time.After(115 * time.Second):
		}
		b.close()
		os.Exit(unable)
	}()
	breaks := scenario(b, trouble)
	for _, text := range breaks {
		record.printf("BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
	}
	if len(breaks) > 0 {
		return broken
	}
	record.printf("the rule held")
	fmt.Println("the rule held")
	return held
}

// request is one consumer attempt.
type request struct {
	method, target, host, key, attempt string
	deadline                           time.Duration
	body                               []byte
}

func (r *request) head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n",
		r.method, r.target, r.host, r.attempt, r.deadline.Milliseconds(), r.key, len(r.body))
}

// answer is what a consumer got.
type answer struct {
	status    int
	signature string
	text      string
	err       error // the channel ended without a complete answer
	took      time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer: %v", a.err)
	}
	return fmt.Sprintf("status %d, signature %q, body %.60q", a.status, a.signature, strings.TrimSpace(a.text))
}

// consumer is a consumer with one channel.
type consumer struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(addr string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{conn, bufio.NewReader(conn)}, nil
}

// send writes a whole request.
func (c *consumer) send(r *request) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(r.deadline))
	if _, err := io.WriteString(c.conn, r.head()); err != nil {
		return err
	}
	_, err := c.conn.Write(r.body)
	return err
}

// receive reads the answer to a request.
func (c *consumer) receive(r *request, limit time.Duration) answer {
	began := time.Now()
	_ = c.conn.SetReadDeadline(began.Add(limit))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Response-Signature"), string(text), err, time.Since(began)}
}

// exchange sends a request on a new channel and reads its answer.
func exchange(addr string, r *request) answer {
	c, err := dial(addr)
	if err != nil {
		return answer{err: err}
	}
	defer c.conn.Close()
	if err := c.send(r); err != nil {
		if a := c.receive(r, time.Second); a.err == nil {
			return a
		}
		return answer{err: err}
	}
	return c.receive(r, r.deadline+time.Second)
}
