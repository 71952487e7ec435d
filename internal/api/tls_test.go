package api

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/pollenford/pollenford/internal/settings"
)

// writeCertificate writes a new certificate and key, and returns a pool that trusts only this certificate.
func writeCertificate(t *testing.T, files settings.TLS) *x509.CertPool {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
	writeFile(t, files.CertFile, certPEM)
	writeFile(t, files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return pool
}

func writeFile(t *testing.T, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func get(url string, trust *x509.CertPool) error {
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trust}, DisableKeepAlives: true}
	res, err := (&http.Client{Transport: transport, Timeout: 5 * time.Second}).Get(url)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// Guards against an API that needs a restart for a new certificate, serves without TLS, or fails while the certificate
// files are replaced.
func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	first := writeCertificate(t, files)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = Serve(srv, listener, &files, hclog.NewNullLogger()) }()
	t.Cleanup(func() { srv.Close() })
	url := "https://" + listener.Addr().String()
	if err := get(url, first); err != nil {
		t.Fatalf("with the first certificate: %v", err)
	}
	if err := get(url, x509.NewCertPool()); err == nil {
		t.Error("an untrusted certificate was accepted")
	}
	writeFile(t, files.KeyFile, []byte("half replaced"))
	for until := time.Now().Add(2 * certificateCheckInterval); time.Now().Before(until); { // long enough for another check of the files
		if err := get(url, first); err != nil {
			t.Fatalf("while the files are replaced: %v", err)
		}
	}
	second := writeCertificate(t, files)
	deadline := time.Now().Add(20 * time.Second)
	for err = get(url, second); err != nil && time.Now().Before(deadline); err = get(url, second) {
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		t.Errorf("with the second certificate: %v", err)
	}
	if get(url, first) == nil {
		t.Error("the first certificate is still served")
	}
	if err := Serve(&http.Server{}, listener, &settings.TLS{CertFile: "none", KeyFile: "none"}, hclog.NewNullLogger()); err == nil {
		t.Error("served without a certificate")
	}
}
