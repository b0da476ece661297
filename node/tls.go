package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// fleetTLS creates the TLS configurations for mutual TLS between processes. It is nil if
// TLS is disabled.
type fleetTLS struct {
	certificates *certReloader
	authorities  *x509.CertPool
}

func loadFleetTLS(s Settings) (*fleetTLS, error) {
	if s.FleetPlain {
		return nil, nil
	}
	certificates, err := newCertReloader(s.FleetCert, s.FleetKey)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(s.FleetCA)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the fleet's certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s does not contain a certificate", s.FleetCA)
	}
	return &fleetTLS{certificates: certificates, authorities: pool}, nil
}

// server returns the configuration of listeners for other processes.
func (f *fleetTLS) server() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      f.authorities,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificates.certificate() },
		NextProtos:     []string{"h2", "http/1.1"},
	}
}

// client returns the configuration of connections to other processes. Peers are
// addressed by IP addresses that change as hosts are replaced, so a member is identified
// by a certificate from the fleet's authority and not by a host name.
func (f *fleetTLS) client() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		InsecureSkipVerify:   true, // VerifyConnection checks the chain without a host name
		VerifyConnection:     f.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.certificates.certificate() },
	}
}

// verifyServer checks that the server's certificate was issued by the fleet's authority.
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
	certificates, err := newCertReloader(s.CallersCert, s.CallersKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificates.certificate() },
		NextProtos:     []string{"h2", "http/1.1"},
	}, nil
}

// certCheckInterval is the minimum time between two checks of a certificate file for
// changes. The checks are made during handshakes.
const certCheckInterval = 10 * time.Second

// certReloader provides a certificate and reloads it when its file changes, so that
// certificates can be rotated without a restart.
type certReloader struct {
	certFile, keyFile string

	mu        sync.Mutex // guards the fields below; handshakes of all listeners use them
	current   *tls.Certificate
	modified  time.Time
	lastCheck time.Time
}

func newCertReloader(certFile, keyFile string) (*certReloader, error) {
	r := &certReloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *certReloader) load() error {
	info, err := os.Stat(r.certFile)
	if err != nil {
		return eris.Wrap(err, "cannot read the certificate")
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return eris.Wrap(err, "cannot load the certificate")
	}
	r.current, r.modified, r.lastCheck = &cert, info.ModTime(), time.Now()
	return nil
}

// certificate returns the current certificate. If a changed file cannot be loaded, the
// last valid certificate stays in use.
func (r *certReloader) certificate() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastCheck) < certCheckInterval {
		return r.current, nil
	}
	r.lastCheck = time.Now()
	info, err := os.Stat(r.certFile)
	if err == nil && !info.ModTime().Equal(r.modified) {
		_ = r.load()
	}
	return r.current, nil
}
