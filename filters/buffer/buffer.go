// Package buffer reads small bodies before they are sent, so that a request that
// one exit refuses can be sent to another.
package buffer

import (
	"context"
	"io"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// MaxPayload is the largest body in bytes that is read before sending. Larger
// bodies and those of unknown length stream and are sent once.
const MaxPayload = 64 << 10

// Filter reads the body of a request into its payload.
type Filter struct{}

// Name returns "buffer".
func (Filter) Name() string { return "buffer" }

// Handle refuses a body that ends early. Bodies with trailers stream, since
// their trailer follows the end.
func (Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	if req.Body == nil || req.ContentLength <= 0 || req.ContentLength > MaxPayload || len(req.TrailerNames) > 0 {
		return nil
	}
	payload := make([]byte, req.ContentLength)
	if _, err := io.ReadFull(req.Body, payload); err != nil {
		return pipeline.Refuse(pipeline.CodeMalformed, "the body ended before its declared length")
	}
	req.Payload = payload
	return nil
}
