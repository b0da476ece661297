package hop

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/ragwortyard/ragwortyard/internal/httpconn"
	"github.com/ragwortyard/ragwortyard/pipeline"
)

// Paths under which a process offers the documents that it holds. Like withdrawals,
// requests for them lack headerRequest.
const (
	ConfigurationPath = "/ragwort/configuration"
	ServersPath       = "/ragwort/servers"
)

// FetchDocument returns the document that the process at addr offers under a path. The
// caller checks its version.
func (c *Client) FetchDocument(ctx context.Context, addr, path string) ([]byte, error) {
	out := newRequest(&pipeline.Request{Method: http.MethodGet, Path: path, Host: addr}, addr)
	answer, err := c.conns.Do(ctx, &httpconn.Exchange{Addr: addr, Request: out})
	switch {
	case err != nil:
		return nil, err
	case answer.Status != http.StatusOK:
		return nil, fmt.Errorf("%s of %s: status %d", path, addr, answer.Status)
	}
	return answer.Body, nil
}

// serveDocument answers with a document of this process, or 404 if it has none.
func serveDocument(w http.ResponseWriter, document []byte) {
	if len(document) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header()["Date"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(len(document)))
	if _, err := w.Write(document); err != nil {
		panic(http.ErrAbortHandler)
	}
}
