package fleet

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/ragwortyard/ragwortyard/pipeline"
)

// relayMethod is the method that asks a process to forward a control message to a peer
// that the sender cannot reach.
const relayMethod = "fleet.relay"

// relayRequest contains a control message to forward to another process. A relayed
// message is never relayed again, since relayMethod is not in the registry.
type relayRequest struct {
	To      string   `json:"to"` // identifier of the host
	Method  string   `json:"method"`
	Message envelope `json:"message"`
}

// Resolver returns the control address of a host, or false if the host is not in the
// host list.
type Resolver func(host string) (addr string, ok bool)

// CallVia sends a message to the host named to through the process at relayAddr. The
// receiver gets the message twice if an earlier direct call arrived and only its reply
// was lost, so all control messages must be idempotent.
func (c *Client) CallVia(ctx context.Context, relayAddr, to string, message any) (any, error) {
	m, err := c.registry.methodFor(message)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	env := envelope{Version: protocolVersion, From: c.self, Message: data}
	raw, err := c.send(ctx, relayAddr, relayMethod, relayRequest{To: to, Method: m.name, Message: env})
	if err != nil {
		return nil, err
	}
	return decodeInto(m.reply, raw)
}

// relay forwards a message to its receiver and returns the reply.
func (s *Server) relay(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	if req.Params == nil {
		return nil, &CodedError{Code: pipeline.CodeBadHop, Detail: "no parameters"}
	}
	var r relayRequest
	if err := json.Unmarshal(*req.Params, &r); err != nil {
		return nil, &CodedError{Code: pipeline.CodeBadHop, Detail: err.Error()}
	}
	addr, ok := s.resolve(r.To)
	if _, known := s.registry.byName[r.Method]; !ok || !known {
		return nil, &CodedError{Code: pipeline.CodeBadHop, Detail: "unknown host or method"}
	}
	return s.client.send(ctx, addr, r.Method, r.Message)
}
