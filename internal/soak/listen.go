package soak

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// releaseTime is how long an address may stay in use after its listener was closed:
// a child process forked in the meantime holds the listener until its exec.
const releaseTime = 3 * time.Second

// listen listens on addr and retries while an earlier run still holds the address.
func listen(addr string) (net.Listener, error) {
	end := time.Now().Add(releaseTime)
	for {
		listener, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
		time.Sleep(releaseTime / 100)
	}
}

// Range of the second octet of the loopback addresses of runs.
const (
	firstOctet = 20
	lastOctet  = 250
)

// Network is a part of the loopback addresses that no other process uses for runs.
type Network struct {
	octet int
	claim net.Listener
}

// ClaimNetwork returns a network that no other run uses.
func ClaimNetwork() (*Network, error) {
	for octet := firstOctet; octet <= lastOctet; octet++ {
		claim, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.%d.255.1", octet), portStore))
		if err == nil {
			return &Network{octet, claim}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, eris.Wrap(err, "claim loopback addresses")
		}
	}
	return nil, eris.Errorf("all %d networks of loopback addresses are in use by other runs", lastOctet-firstOctet+1)
}

// Release gives the network up.
func (n *Network) Release() { _ = n.claim.Close() }
