package api

import (
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/settings"
)

// certificateCheckInterval is the minimum interval between two checks of the certificate files.
const certificateCheckInterval = 1 * time.Second

// Serve serves an API, with TLS if t is not nil.
func Serve(srv *http.Server, listener net.Listener, t *settings.TLS, logger hclog.Logger) error {
	if t == nil {
		return srv.Serve(listener)
	}
	c := &certificateReloader{files: *t, logger: logger, now: time.Now}
	if _, err := c.get(nil); err != nil {
		return errors.Annotate(err, "reading the certificate")
	}
	srv.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
	return srv.ServeTLS(listener, "", "")
}

// certificateReloader holds the certificate of the API and reloads it when one of its files changes. While the files
// are unusable, such as when only one of them has been replaced, the last valid certificate stays in use.
type certificateReloader struct {
	files  settings.TLS
	logger hclog.Logger
	now    func() time.Time

	// mu protects the fields below.
	mu        sync.Mutex
	lastCheck time.Time
	versions  [2]fileVersion
	current   *tls.Certificate
}

// fileVersion identifies the version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// get implements tls.Config.GetCertificate.
func (c *certificateReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.current != nil && now.Sub(c.lastCheck) < certificateCheckInterval {
		return c.current, nil
	}
	c.lastCheck = now
	if err := c.reload(); err != nil {
		if c.current == nil {
			return nil, err
		}
		c.logger.Error("certificate reload failed, previous certificate stays in use", "error", err)
	}
	return c.current, nil
}

func (c *certificateReloader) reload() error {
	var versions [2]fileVersion
	for i, name := range []string{c.files.CertFile, c.files.KeyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return errors.Trace(err)
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	if c.current != nil && versions == c.versions {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return errors.Trace(err)
	}
	c.current, c.versions = &certificate, versions
	return nil
}
