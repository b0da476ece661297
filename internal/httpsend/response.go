package httpsend

import (
	"net/http"
	"strings"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// SetResultBody moves the body and the trailer of an HTTP response to a result. The
// result of a HEAD request or of a response without content gets no body.
func SetResultBody(result *pipeline.Result, resp *http.Response) {
	if resp.Body == http.NoBody || resp.Request.Method == http.MethodHead {
		resp.Body.Close()
		result.ContentLength = 0
		return
	}
	result.Body = resp.Body
	result.ContentLength = resp.ContentLength
	for name := range forwardedTrailer(resp) {
		result.TrailerNames = append(result.TrailerNames, name)
	}
	result.Trailer = func() pipeline.Header { return forwardedTrailer(resp) }
}

// forwardedTrailer returns the trailer fields without reserved ones.
func forwardedTrailer(resp *http.Response) pipeline.Header {
	trailer := make(pipeline.Header, len(resp.Trailer))
	for name, values := range resp.Trailer {
		if !IsReservedHeader(name) {
			trailer[name] = values
		}
	}
	return trailer
}

// hopByHopHeaders lists the response headers that apply to one connection only.
var hopByHopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// IsReservedHeader reports whether a header or trailer of a backend server's response must not
// be forwarded: hop-by-hop headers and those that the fleet sets itself.
func IsReservedHeader(name string) bool {
	return hopByHopHeaders[name] || strings.HasPrefix(name, "Ragwort-")
}
