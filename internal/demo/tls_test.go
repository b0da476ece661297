package demo

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/ragwortyard/ragwortyard/node"
)

// testCA is a certificate authority for a test.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{t: t, key: newKey(t), dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *testCA) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issueMember issues the certificate of a fleet member and returns the files of the
// certificate and its key.
func (a *testCA) issueMember(name string) (certFile, keyFile string) {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+"-key.pem", "EC PRIVATE KEY", keyDER)
}

// Guards against a fleet that does not work with mutual TLS, and against clients without
// a certificate of the fleet that could send control messages or requests on behalf of
// any team.
func TestOnlyFleetMembersTalkWithMutualTLS(t *testing.T) {
	a := newTestCA(t)
	certFile, keyFile := a.issueMember("member")
	f := startSmallFleet(t, func(s *node.Settings) {
		s.FleetPlain = false
		s.FleetCert, s.FleetKey, s.FleetCA = certFile, keyFile, filepath.Join(a.dir, "ca.pem")
	})
	resp, body := send(t, "POST", f.Members[0].CallersURL()+"/bookings/7", "blue-secret", "two mats")
	if resp.StatusCode != 200 {
		t.Fatalf("status %d: %s", resp.StatusCode, body)
	}
	otherCA := newTestCA(t)
	strangerCert, strangerKey := otherCA.issueMember("stranger")
	pair, err := tls.LoadX509KeyPair(strangerCert, strangerKey)
	if err != nil {
		t.Fatal(err)
	}
	for _, addr := range []string{f.Members[0].Settings.TrafficAddr, f.Members[0].Settings.ControlAddr} {
		for name, config := range map[string]*tls.Config{
			"no certificate":               {InsecureSkipVerify: true},
			"certificate of another fleet": {InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}},
		} {
			if acceptsConnection(t, addr, config) {
				t.Errorf("%s accepted a connection with %s", addr, name)
			}
		}
	}
}

// acceptsConnection reports whether the server keeps the connection after the
// handshake. In TLS 1.3 the client learns of a rejection only at its first read.
func acceptsConnection(t *testing.T, addr string, config *tls.Config) bool {
	t.Helper()
	conn, err := tls.Dial("tcp", addr, config)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err = conn.Read(make([]byte, 1))
	timeout, ok := err.(interface{ Timeout() bool })
	return err == nil || (ok && timeout.Timeout())
}
