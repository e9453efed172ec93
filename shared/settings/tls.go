package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"
)

// certificateCheckInterval is the shortest interval between checks of a certificate file
// for a newer version.
const certificateCheckInterval = 10 * time.Second

// certificateReloader provides a certificate and reloads it when its file changes.
type certificateReloader struct {
	files      TLS
	mutex      sync.Mutex
	checkedAt  time.Time
	modifiedAt time.Time
	current    *tls.Certificate
}

// Server returns the TLS configuration of a listener. If authorities are set, it
// requires client certificates that they signed. Errors match ErrInvalid.
func (t *TLS) Server() (*tls.Config, error) {
	r, pool, err := t.load()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get() }
	if pool != nil {
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// Client returns the TLS configuration for outgoing connections. Errors match
// ErrInvalid.
func (t *TLS) Client() (*tls.Config, error) {
	r, pool, err := t.load()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.get() }
	return config, nil
}

// Secure wraps a listener for other processes with mutual TLS and returns it with the
// configuration for connections to them. If t is nil, it returns the listener unchanged
// and no configuration. Errors match ErrInvalid.
func (t *TLS) Secure(listener net.Listener) (net.Listener, *tls.Config, error) {
	if t == nil {
		return listener, nil, nil
	}
	server, err := t.Server()
	if err != nil {
		return nil, nil, err
	}
	client, err := t.Client()
	if err != nil {
		return nil, nil, err
	}
	return tls.NewListener(listener, server), client, nil
}

func (t *TLS) load() (*certificateReloader, *x509.CertPool, error) {
	r := &certificateReloader{files: *t}
	if _, err := r.get(); err != nil {
		return nil, nil, ErrInvalid.Wrap(err, "certificate")
	}
	if t.Authorities == "" {
		return r, nil, nil
	}
	raw, err := os.ReadFile(t.Authorities)
	if err != nil {
		return nil, nil, ErrInvalid.Wrap(err, "authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, nil, ErrInvalid.New("%s contains no certificate in PEM format", t.Authorities)
	}
	return r, pool, nil
}

// get returns the certificate, reloaded if its file has changed. If the new version
// cannot be loaded, it returns the previous one.
func (r *certificateReloader) get() (*tls.Certificate, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if r.current != nil && now.Sub(r.checkedAt) < certificateCheckInterval {
		return r.current, nil
	}
	r.checkedAt = now
	info, err := os.Stat(r.files.Certificate)
	if err == nil && r.current != nil && info.ModTime().Equal(r.modifiedAt) {
		return r.current, nil
	}
	if err == nil {
		var pair tls.Certificate
		pair, err = tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
		if err == nil {
			r.current, r.modifiedAt = &pair, info.ModTime()
		}
	}
	if r.current != nil {
		return r.current, nil
	}
	return nil, err
}
