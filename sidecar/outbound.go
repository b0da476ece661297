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

// commandQueueSize is the maximum number of commands that wait to be executed. A process
// sends about ten messages per second.
const commandQueueSize = 1024

// commandExecutor executes the commands of the control loop: it sends datagrams, requests
// reads of the store and writes log lines.
type commandExecutor struct {
	log          *zap.Logger
	datagramPort uint16 // UDP port for datagrams, the same on every host
	commands     chan control.Command
	conn         *net.UDPConn
	sendFailures *metrics.Counter
	wakeFollower func(mesh.ReadStore)    // requests a read of the store
	fetchConfig  func(mesh.FetchConfig)  // requests the configuration of a peer
	fetchServers func(mesh.FetchServers) // requests the list of backend servers of a peer
	refreshQueue func()                  // updates the state of the backend server in the queue
}

func newCommandExecutor(log *zap.Logger, port string, set *metrics.Set) *commandExecutor {
	n, _ := strconv.ParseUint(port, 10, 16) // validated with the settings
	return &commandExecutor{
		log:          log,
		datagramPort: uint16(n),
		commands:     make(chan control.Command, commandQueueSize),
		sendFailures: set.NewCounter("ragwortyard_notices_failed_total"),
	}
}

// Send queues a command. It returns false if the queue is full.
func (e *commandExecutor) Send(cmd control.Command) bool {
	select {
	case e.commands <- cmd:
		return true
	default:
		return false
	}
}

// listen opens the UDP socket for datagrams.
func (e *commandExecutor) listen(addr string) (*net.UDPConn, error) {
	local, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, eris.Wrap(err, "cannot resolve the UDP address for datagrams")
	}
	e.conn, err = net.ListenUDP("udp4", local)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot listen on %s", addr)
	}
	return e.conn, nil
}

// run executes queued commands until ctx is done; then it closes the socket.
func (e *commandExecutor) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			_ = e.conn.Close()
			return
		case cmd := <-e.commands:
			e.execute(cmd)
		}
	}
}

func (e *commandExecutor) execute(cmd control.Command) {
	switch cmd := cmd.(type) {
	case mesh.SendMessage:
		e.send(cmd)
	case mesh.ReadStore:
		e.wakeFollower(cmd)
	case mesh.FetchConfig:
		e.fetchConfig(cmd)
	case mesh.FetchServers:
		e.fetchServers(cmd)
	case mesh.EvacuationsChanged:
		e.refreshQueue()
	case mesh.LogEntry:
		fields := make([]zap.Field, 0, len(cmd.Fields))
		for name, value := range cmd.Fields {
			fields = append(fields, zap.Any(name, value))
		}
		e.log.Info(cmd.Message, fields...)
	}
}

func (e *commandExecutor) send(cmd mesh.SendMessage) {
	data, err := notice.Encode(cmd.Message)
	if err != nil {
		e.log.Error("cannot encode datagram", zap.Error(err))
		return
	}
	for _, host := range cmd.Hosts {
		ip, err := netip.ParseAddr(host)
		if err != nil {
			e.log.Warn("cannot send datagram: host is not an IP address", zap.String("host", host))
			continue
		}
		if _, err := e.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(ip, e.datagramPort)); err != nil {
			e.sendFailures.Inc() // not retried: a lost datagram is repeated or has a fallback
		}
	}
}

// receive passes the datagrams of peers to the control loop until ctx is done.
func receive(ctx context.Context, conn *net.UDPConn, loop *control.Loop[mesh.Snapshot], log *zap.Logger) {
	buf := make([]byte, notice.MaxDatagramSize)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				log.Warn("cannot receive datagram", zap.Error(err))
			}
			continue
		}
		message, err := notice.Decode(buf[:n])
		if err != nil {
			log.Warn("cannot decode datagram", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		received := mesh.MessageReceived{Host: from.Addr().Unmap().String(), Direct: true, Message: message}
		if message.Origin != "" {
			received.Host, received.Direct = message.Origin, false
		}
		loop.Post(received)
	}
}
