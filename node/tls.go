package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// fleetTLS makes the configurations for mutual TLS between processes; nil in
// plain mode.
type fleetTLS struct {
	certificates *reloader
	authorities  *x509.CertPool
}

func loadFleetTLS(s Settings) (*fleetTLS, error) {
	if s.FleetPlain {
		return nil, nil
	}
	certificates, err := newReloader(s.FleetCert, s.FleetKey)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(s.FleetCA)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the fleet's certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s holds no certificate", s.FleetCA)
	}
	return &fleetTLS{certificates: certificates, authorities: pool}, nil
}

// server returns the configuration of a listener for other processes.
func (f *fleetTLS) server() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      f.authorities,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificates.get() },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// client returns the configuration of connections to other processes. Peers are
// addressed by IP numbers that change as hosts are replaced, so a certificate of
// the fleet's authority is what identifies a member, not a host name.
func (f *fleetTLS) client() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		InsecureSkipVerify:   true, // VerifyConnection checks the chain without a host name
		VerifyConnection:     f.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.certificates.get() },
	}
}

func (f *fleetTLS) verifyServer(state tls.ConnectionState) error {
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: f.authorities, Intermediates: intermediates})
	return err
}

func loadCallersTLS(s Settings) (*tls.Config, error) {
	if s.CallersCert == "" {
		return nil, nil
	}
	certificates, err := newReloader(s.CallersCert, s.CallersKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificates.get() },
		NextProtos:     []string{"h2", "http/1.1"},
	}, nil
}

// reloadInterval is how often a certificate file is checked for a change, at
// handshakes only.
const reloadInterval = 10 * time.Second

// reloader serves a certificate and reads it again when its file changes, so
// that certificates are rotated without a restart.
type reloader struct {
	certFile, keyFile string

	mu       sync.Mutex // guards the certificate, which handshakes of all listeners share
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

func newReloader(certFile, keyFile string) (*reloader, error) {
	r := &reloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *reloader) load() error {
	info, err := os.Stat(r.certFile)
	if err != nil {
		return eris.Wrap(err, "cannot read the certificate")
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return eris.Wrap(err, "cannot load the certificate")
	}
	r.current, r.modified, r.checked = &cert, info.ModTime(), time.Now()
	return nil
}

// get returns the certificate in force. A file that cannot be loaded leaves the
// last good certificate in force.
func (r *reloader) get() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) < reloadInterval {
		return r.current, nil
	}
	r.checked = time.Now()
	info, err := os.Stat(r.certFile)
	if err == nil && !info.ModTime().Equal(r.modified) {
		_ = r.load()
	}
	return r.current, nil
}
