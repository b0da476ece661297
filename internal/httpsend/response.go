package httpsend

import (
	"net/http"

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
