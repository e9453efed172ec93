package settings

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCheckReportsEveryFault(t *testing.T) {
	c := qt.New(t)
	var common Common
	var faults Faults
	err := Decode("s.json", []byte(`{"dataCentre":"a","logRetention":"1s","peerTls":{"certificate":"none.pem"}}`), &common)
	c.Assert(err, qt.IsNil)
	common.Check(&faults)
	err = faults.Err("s.json")
	c.Assert(errors.Is(err, ErrInvalid), qt.IsTrue)
	for _, key := range []string{"instance", "peer", "operators", "platform", "logRetention", "peerTls.certificate", "peerTls.key", "peerTls.authorities"} {
		c.Check(err, qt.ErrorMatches, `(?s).*`+key+`: .*`)
	}
}

func TestDecodeReportsUnknownKeyAndInvalidValue(t *testing.T) {
	c := qt.New(t)
	var common Common
	err := Decode("s.json", []byte("{\n\"instanse\": 1}"), &common)
	c.Assert(err, qt.ErrorMatches, `.*s.json: line 2: unknown field "instanse"`)
	err = Decode("s.json", []byte(`{"logRetention":"soon"}`), &common)
	c.Assert(err, qt.ErrorMatches, `.*"soon" is not a duration such as 30s.*`)
	err = Decode("s.json", []byte(`{} {}`), &common)
	c.Assert(err, qt.ErrorMatches, `.*content after the settings`)
}

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T, folder string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	certificate, err := x509.ParseCertificate(raw)
	qt.Assert(t, err, qt.IsNil)
	a := &authority{certificate: certificate, key: key, file: filepath.Join(folder, "authorities.pem")}
	writePEM(t, a.file, "CERTIFICATE", raw)
	return a
}

// issue writes a certificate for the loopback address and its key.
func (a *authority) issue(t *testing.T, folder, name string) TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	qt.Assert(t, err, qt.IsNil)
	rawKey, err := x509.MarshalECPrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	files := TLS{Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key"), Authorities: a.file}
	writePEM(t, files.Certificate, "CERTIFICATE", raw)
	writePEM(t, files.Key, "EC PRIVATE KEY", rawKey)
	return files
}

func writePEM(t *testing.T, file, kind string, raw []byte) {
	err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)
	qt.Assert(t, err, qt.IsNil)
}

// dialAndRead connects to a server and returns all data that it sends.
func dialAndRead(address string, config *tls.Config) (string, error) {
	conn, err := (&tls.Dialer{Config: config}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	raw, err := io.ReadAll(conn)
	return string(raw), err
}

func TestMutualTLSRejectsUntrustedClient(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	trusted := newAuthority(t, folder)
	serverFiles, clientFiles := trusted.issue(t, folder, "server"), trusted.issue(t, folder, "client")
	server, err := serverFiles.Server()
	c.Assert(err, qt.IsNil)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("hello")) // A rejected client reads an error.
			conn.Close()
		}
	}()
	client, err := clientFiles.Client()
	c.Assert(err, qt.IsNil)
	text, err := dialAndRead(listener.Addr().String(), client)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, "hello")

	untrustedFolder := t.TempDir()
	untrustedFiles := newAuthority(t, untrustedFolder).issue(t, untrustedFolder, "stranger")
	untrustedFiles.Authorities = trusted.file
	untrusted, err := untrustedFiles.Client()
	c.Assert(err, qt.IsNil)
	_, err = dialAndRead(listener.Addr().String(), untrusted)
	c.Assert(err, qt.IsNotNil)
}

func TestCertificateReloadKeepsLastValidCertificate(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	issuer := newAuthority(t, folder)
	files := issuer.issue(t, folder, "server")
	r, _, err := files.load()
	c.Assert(err, qt.IsNil)
	first, err := r.get()
	c.Assert(err, qt.IsNil)
	issuer.issue(t, folder, "server")
	later := time.Now().Add(time.Minute)
	c.Assert(os.Chtimes(files.Certificate, later, later), qt.IsNil)
	r.checkedAt = time.Time{}
	second, err := r.get()
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.Not(qt.Equals), first)
	c.Assert(os.WriteFile(files.Certificate, []byte("broken"), 0o600), qt.IsNil)
	r.checkedAt = time.Time{}
	third, err := r.get()
	c.Assert(err, qt.IsNil)
	c.Assert(third, qt.Equals, second, qt.Commentf("an invalid file must not replace the loaded certificate"))
}
