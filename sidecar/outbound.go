package sidecar

import (
	"context"
	"net"
	"net/netip"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/ragwortyard/ragwortyard/control"
	"github.com/ragwortyard/ragwortyard/control/mesh"
	"github.com/ragwortyard/ragwortyard/fleet/notice"
)

// commandBacklog bounds the commands that wait to be carried out; a process
// sends some ten messages a second.
const commandBacklog = 1024

// outbound carries out the commands of the control loop.
type outbound struct {
	log      *zap.Logger
	port     uint16 // of the datagrams, the same on every host
	commands chan control.Command
	conn     *net.UDPConn
	failed   *metrics.Counter
	wake     func(mesh.Wake) // asks for a read of the store
}

func newOutbound(log *zap.Logger, port string, set *metrics.Set) *outbound {
	n, _ := strconv.ParseUint(port, 10, 16) // checked with the settings
	return &outbound{
		log:      log,
		port:     uint16(n),
		commands: make(chan control.Command, commandBacklog),
		failed:   set.NewCounter("ragwortyard_notices_failed_total"),
	}
}

// Send queues a command; it reports false when the queue is full.
func (o *outbound) Send(cmd control.Command) bool {
	select {
	case o.commands <- cmd:
		return true
	default:
		return false
	}
}

func (o *outbound) listen(addr string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, eris.Wrap(err, "address for notices")
	}
	o.conn, err = net.ListenUDP("udp4", local)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen on %s", addr)
	}
	return o.conn, nil
}

func (o *outbound) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			_ = o.conn.Close()
			return
		case cmd := <-o.commands:
			o.carryOut(cmd)
		}
	}
}

func (o *outbound) carryOut(cmd control.Command) {
	switch cmd := cmd.(type) {
	case mesh.Send:
		o.send(cmd)
	case mesh.Wake:
		o.wake(cmd)
	case mesh.Log:
		fields := make([]zap.Field, 0, len(cmd.Fields))
		for name, value := range cmd.Fields {
			fields = append(fields, zap.Any(name, value))
		}
		o.log.Info(cmd.Text, fields...)
	}
}

func (o *outbound) send(cmd mesh.Send) {
	data, err := notice.Encode(cmd.Message)
	if err != nil {
		o.log.Error("notice not encoded", zap.Error(err))
		return
	}
	for _, host := range cmd.Hosts {
		ip, err := netip.ParseAddr(host)
		if err != nil {
			o.log.Warn("peer without an IP number", zap.String("host", host))
			continue
		}
		if _, err := o.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(ip, o.port)); err != nil {
			o.failed.Inc() // statuses are repeated, asks have a fallback
		}
	}
}

// receive passes datagrams of peers to the control loop.
func receive(ctx context.Context, conn *net.UDPConn, loop *control.Loop[mesh.Snapshot], log *zap.Logger) {
	buf := make([]byte, notice.MaxDatagramSize)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				log.Warn("notice not received", zap.Error(err))
			}
			continue
		}
		message, err := notice.Decode(buf[:n])
		if err != nil {
			log.Warn("notice not readable", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		received := mesh.Received{Host: from.Addr().Unmap().String(), Direct: true, Message: message}
		if message.Origin != "" {
			received.Host, received.Direct = message.Origin, false
		}
		loop.Post(received)
	}
}
