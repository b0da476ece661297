package node

import (
	"context"
	"fmt"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/decide/lease"
	"github.com/ragwortyard/ragwortyard/decide/ledger"
	"github.com/ragwortyard/ragwortyard/decide/membership"
	"github.com/ragwortyard/ragwortyard/decide/quarantine"
	"github.com/ragwortyard/ragwortyard/decide/quota"
	"github.com/ragwortyard/ragwortyard/decide/spread"
	"github.com/ragwortyard/ragwortyard/fleet"
)

// newRegistry returns the registry of the control messages and their JSON-RPC methods.
func newRegistry() *fleet.Registry {
	r := fleet.NewRegistry()
	fleet.Register[spread.ManifestRequest, spread.Manifest](r, "config.manifest")
	fleet.Register[spread.PartsRequest, spread.Parts](r, "config.parts")
	fleet.Register[spread.Announcement, control.Ack](r, "config.announce")
	fleet.Register[membership.Ping, membership.Ack](r, "member.ping")
	fleet.Register[membership.PingVia, control.Ack](r, "member.pingVia")
	fleet.Register[membership.Ack, control.Ack](r, "member.ack")
	fleet.Register[membership.Leaving, control.Ack](r, "member.leaving")
	fleet.Register[lease.PromiseRequest, lease.PromiseReply](r, "lease.promise")
	fleet.Register[lease.Release, control.Ack](r, "lease.release")
	fleet.Register[quota.TokenRequest, quota.Grant](r, "quota.ask")
	fleet.Register[quota.Return, control.Ack](r, "quota.return")
	fleet.Register[quota.HandoverOffer, quota.HandoverAccept](r, "quota.offer")
	fleet.Register[quota.Handover, control.Ack](r, "quota.handover")
	fleet.Register[control.HealthReport, control.HealthReportReply](r, "health.report")
	fleet.Register[control.HealthVerdicts, control.Ack](r, "health.verdict")
	fleet.Register[ledger.Claim, ledger.ClaimReply](r, "ledger.claim")
	fleet.Register[ledger.Finish, control.Ack](r, "ledger.finish")
	fleet.Register[ledger.Release, control.Ack](r, "ledger.release")
	fleet.Register[ledger.SyncRequest, ledger.SyncResponse](r, "ledger.export")
	fleet.Register[quarantine.Report, quarantine.ReportReply](r, "crash.report")
	fleet.Register[quarantine.Gossip, quarantine.GossipReply](r, "crash.spread")
	return r
}

// peerHandler passes messages from peers to the control loop and waits for the reply.
type peerHandler struct {
	loop *control.Loop[control.Snapshot]
}

// HandlePeer returns the control loop's reply to a message from a peer.
func (h *peerHandler) HandlePeer(ctx context.Context, from string, message any) (any, error) {
	reply := make(chan any, 1)
	if err := h.loop.Submit(ctx, control.PeerRequest{From: from, Message: message, Reply: reply}); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("control loop did not reply: %w", ctx.Err())
	}
}
