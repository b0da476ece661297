// Package fingerprint computes a hash that is equal for requests with the same
// effect.
package fingerprint

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter hashes the team, the service, the method, the path, the query and the
// payload. A streamed body is not included, since its content is not known when the
// request is sent.
type Filter struct{}

// Name returns "fingerprint".
func (Filter) Name() string { return "fingerprint" }

// Handle sets the fingerprint of the request.
func (Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	var digest xxhash.Digest
	digest.Reset()
	for _, field := range [...]string{req.Principal.Team, req.Service, req.Method, req.Path, req.RawQuery} {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0}) // separates the fields
	}
	_, _ = digest.Write(req.Payload)
	req.Fingerprint = digest.Sum64()
	return nil
}
