package httpsend

import (
	"net/http"
	"strings"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// AttachBody moves the body and the trailer of an HTTP answer to a result. An
// answer to HEAD and an answer without content get no body.
func AttachBody(result *pipeline.Result, resp *http.Response) {
	if resp.Body == http.NoBody || resp.Request.Method == http.MethodHead {
		resp.Body.Close()
		result.ContentLength = 0
		return
	}
	result.Body = resp.Body
	result.ContentLength = resp.ContentLength
	for name := range resp.Trailer {
		result.TrailerNames = append(result.TrailerNames, name)
	}
	result.Trailer = func() pipeline.Header { return pipeline.Header(resp.Trailer) }
}

// reserved lists the answer fields that concern one connection only.
var reserved = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// Reserved tells whether a field of a backend server's answer must not be
// passed on: connection fields and the names that the fleet sets itself.
func Reserved(name string) bool {
	return reserved[name] || strings.HasPrefix(name, "Ragwort-")
}
