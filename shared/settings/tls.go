package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"
)

// certificateCheckEvery is how often files are looked at for a newer certificate.
const certificateCheckEvery = 10 * time.Second

// reloader hands out a certificate and reads it again when its file changes.
type reloader struct {
	files   TLS
	mutex   sync.Mutex
	checked time.Time
	changed time.Time
	current *tls.Certificate
}

// Server is the configuration of a listener. With authorities it asks clients
// for certificates. Errors match ErrInvalid.
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

// Client is the configuration for dialing. Errors match ErrInvalid.
func (t *TLS) Client() (*tls.Config, error) {
	r, pool, err := t.load()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.get() }
	return config, nil
}

// Secure puts mutual TLS on a listener for other processes and gives the
// configuration to dial them with. Without files both stay plain.
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

func (t *TLS) load() (*reloader, *x509.CertPool, error) {
	r := &reloader{files: *t}
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
		return nil, nil, ErrInvalid.New("%s holds no certificate", t.Authorities)
	}
	return r, pool, nil
}

// get returns the present certificate; a newer one that cannot be read leaves
// the one in use.
func (r *reloader) get() (*tls.Certificate, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if r.current != nil && now.Sub(r.checked) < certificateCheckEvery {
		return r.current, nil
	}
	r.checked = now
	info, err := os.Stat(r.files.Certificate)
	if err == nil && r.current != nil && info.ModTime().Equal(r.changed) {
		return r.current, nil
	}
	if err == nil {
		var pair tls.Certificate
		pair, err = tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
		if err == nil {
			r.current, r.changed = &pair, info.ModTime()
		}
	}
	if r.current != nil {
		return r.current, nil
	}
	return nil, err
}
