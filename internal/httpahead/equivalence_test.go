package httpahead

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawRequest draws a request that follows others. The path of a non-idempotent one begins
// with /post.
func drawRequest(rt *rapid.T, before []string) string {
	i := len(before)
	wait := rapid.SampledFrom([]string{"", "&wait=1ms", "&wait=7ms", "&wait=20ms", "&size=6000", "&wait=2ms&size=70000"}).Draw(rt, "wait")
	get, post := fmt.Sprintf("/get%d?%s", i, wait), fmt.Sprintf("/post%d?%s", i, wait)
	head := func(line string, fields ...string) string {
		return line + "\r\nHost: a\r\n" + strings.Join(append(fields, "\r\n"), "\r\n")
	}
	size := rapid.SampledFrom([]int{0, 1, 100, 3000, 20000}).Draw(rt, "size")
	body := strings.Repeat("b", size)
	length := fmt.Sprintf("Content-Length: %d", size)
	kinds := []func() string{
		func() string { return "GET " + get + " HTTP/1.1\r\nHost: a\r\n\r\n" },
		func() string { return "GET " + get + " HTTP/1.1\r\nHost: a\r\n\r\n" },
		func() string { return "HEAD " + get + " HTTP/1.1\r\nHost: a\r\n\r\n" },
		func() string { return "PUT " + get + " HTTP/1.1\r\nHost: a\r\n" + length + "\r\n\r\n" + body },
		func() string { return "POST " + post + " HTTP/1.1\r\nHost: a\r\n" + length + "\r\n\r\n" + body },
		func() string {
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n%X\r\n%sb\r\n0\r\n\r\n", post, size+1, body)
		},
		func() string {
			return "POST " + post + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1;e=1\r\nx\r\n0\r\nT: 1\r\n\r\n"
		},
		func() string { return head("GET "+get+" HTTP/1.1", "Connection: keep-alive") },
		func() string { return head("GET "+get+"&close HTTP/1.1", "X: "+strings.Repeat("y", size)) },
		func() string { return head("GET "+get+" HTTP/1.1", "Connection: close") },
		func() string { return head("GET "+get+" HTTP/1.0", "Connection: keep-alive") },
		func() string { return head("GET "+get+" HTTP/1.1", "Upgrade: x", "Connection: upgrade") },
		func() string { return head("POST "+post+" HTTP/1.1", "Expect: 100-continue", length) + body },
		func() string {
			return head("POST "+post+" HTTP/1.1", length, "Transfer-Encoding: chunked") + "0\r\n\r\n"
		},
		func() string { return head("POST "+post+" HTTP/1.1", length, length) + body },
		func() string { return head("POST "+post+" HTTP/1.1", length, "Content-Length: 7") + body },
		func() string { return head("POST "+post+" HTTP/1.1", "Content-Length:", " 1") + "b" },
		func() string { return strings.ReplaceAll(head("GET "+get+" HTTP/1.1", "A: b"), "\r\n", "\n") },
		func() string { return emptyLine(before) + head("GET "+get+" HTTP/1.1") },
		func() string { return head("GET " + get + " HTTP/1.1 ") },
		func() string { return head("GET "+get+" HTTP/1.1", "Bad name: 1") },
		func() string { return head("GET "+get+"&abort HTTP/1.1", "A: b") },
		func() string { return "NONSENSE\r\n\r\n" },
	}
	// The first kinds, which are well-formed, are drawn more often.
	return kinds[min(rapid.IntRange(0, len(kinds)-1).Draw(rt, "kind"), rapid.IntRange(0, len(kinds)-1).Draw(rt, "other"))]()
}

// emptyLine returns an empty line where net/http treats it in the same way with and without
// a Layer: it ignores the line if the last request that it read from the connection is a POST.
func emptyLine(before []string) string {
	isPost := func(request string) bool { return strings.HasPrefix(request, "POST") }
	if n := len(before); n > 0 && !isPost(before[n-1]) && slices.ContainsFunc(before, isPost) {
		return ""
	}
	return "\r\n"
}

// Guards against any other answers, or other runs of non-idempotent requests, than those of net/http alone.
func TestAnswersEqualThoseWithoutALayer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var requests []string
		for range rapid.IntRange(1, 8).Draw(rt, "requests") {
			requests = append(requests, drawRequest(rt, requests))
		}
		text := strings.Join(requests, "")
		cuts := rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 10, 100, 1000, 5000}), 0, 60).Draw(rt, "cuts")
		opts := testOptions
		opts.MaxRequests = rapid.IntRange(1, 8).Draw(rt, "maximum")
		opts.MaxConnBytes = rapid.SampledFrom([]int64{30 << 10, 200 << 10, 4 << 20}).Draw(rt, "bytes")
		want, wantPosts := output(t, Options{}, text, cuts)
		got, gotPosts := output(t, opts, text, cuts)
		if got != want || !slices.Equal(gotPosts, wantPosts) {
			rt.Errorf("sent %.3000q\ngot %.2000q, run %v\nwant %.2000q, run %v", text, got, gotPosts, want, wantPosts)
		}
	})
}
