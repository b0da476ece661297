// Package authenticate verifies the API key of a caller and removes it from the
// request.
package authenticate

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Filter looks up the SHA-256 digest of the key. The timing of the lookup reveals
// at most the digest, which the caller can compute itself.
type Filter struct {
	Snapshot func() *control.Snapshot
}

// Name returns "authenticate".
func (f *Filter) Name() string { return "authenticate" }

// Handle sets the principal. An open route requires no key and ignores an invalid
// one.
func (f *Filter) Handle(_ context.Context, req *pipeline.Request) *pipeline.Result {
	keys := req.Credentials
	req.Credentials = nil
	snap := f.Snapshot()
	route, ok := snap.Config.RouteByName(req.Route)
	if !ok {
		return pipeline.Refuse(pipeline.CodeUnknownRoute, "")
	}
	principal, code := verify(snap, keys)
	if route.Open {
		req.Principal = principal
		return nil
	}
	if code != pipeline.CodeOK {
		return pipeline.Refuse(code, "")
	}
	if !route.Allows(principal.Team) {
		return pipeline.Refuse(pipeline.CodeKeyNotAllowed, "")
	}
	req.Principal = principal
	return nil
}

// verify returns the principal that owns the key, or the code of the refusal.
func verify(snap *control.Snapshot, keys []string) (pipeline.Principal, pipeline.Code) {
	switch {
	case len(keys) == 0:
		return pipeline.Principal{}, pipeline.CodeKeyMissing
	case len(keys) > 1:
		return pipeline.Principal{}, pipeline.CodeKeyAmbiguous
	case !time.Now().Before(snap.KeysTrustedUntil):
		return pipeline.Principal{}, pipeline.CodeKeysUnconfirmed
	}
	ref, ok := snap.Config.KeyByDigest(sha256.Sum256([]byte(keys[0])))
	if !ok {
		return pipeline.Principal{}, pipeline.CodeKeyUnknown
	}
	return pipeline.Principal{Team: ref.Team, KeyID: ref.KeyID}, pipeline.CodeOK
}
