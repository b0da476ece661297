// Package buffer reads small request bodies into memory, so that a request that
// one exit proxy refuses can be sent to another.
package buffer

import (
	"context"
	"io"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// MaxPayloadBytes is the size of the largest body that is buffered. Larger bodies
// and those of unknown length are streamed and sent only once.
const MaxPayloadBytes = 64 << 10

// Filter buffers the body of a request in its payload.
type Filter struct{}

// Name returns "buffer".
func (Filter) Name() string { return "buffer" }

// Handle refuses a request whose body ends early. Bodies with trailers are
// streamed, since trailers follow the end of the body.
func (Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	if req.Body == nil || req.ContentLength <= 0 || req.ContentLength > MaxPayloadBytes || len(req.TrailerNames) > 0 {
		return nil
	}
	payload := make([]byte, req.ContentLength)
	if _, err := io.ReadFull(req.Body, payload); err != nil {
		return pipeline.Refuse(pipeline.CodeMalformed, "the body ended before its declared length")
	}
	req.Payload = payload
	return nil
}
