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

// certificateCheck is the shortest interval between two looks at the certificate files.
const certificateCheck = 1 * time.Second

// Serve serves an API, with TLS if it is configured.
func Serve(srv *http.Server, listener net.Listener, t *settings.TLS, logger hclog.Logger) error {
	if t == nil {
		return srv.Serve(listener)
	}
	c := &certificates{files: *t, logger: logger, now: time.Now}
	if _, err := c.get(nil); err != nil {
		return errors.Annotate(err, "reading the certificate")
	}
	srv.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}
	return srv.ServeTLS(listener, "", "")
}

// certificates holds the certificate of the API and reads it again when a file changed. While the files are unusable,
// such as between the replacement of one and of the other, the last good certificate stays in use.
type certificates struct {
	files  settings.TLS
	logger hclog.Logger
	now    func() time.Time

	// mu protects the fields below.
	mu      sync.Mutex
	checked time.Time
	loaded  [2]fileVersion
	current *tls.Certificate
}

// fileVersion tells apart the versions of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// get implements tls.Config.GetCertificate.
func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.current != nil && now.Sub(c.checked) < certificateCheck {
		return c.current, nil
	}
	c.checked = now
	if err := c.reload(); err != nil {
		if c.current == nil {
			return nil, err
		}
		c.logger.Error("new certificate not usable, keeping the last one", "error", err)
	}
	return c.current, nil
}

func (c *certificates) reload() error {
	var versions [2]fileVersion
	for i, name := range []string{c.files.CertFile, c.files.KeyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return errors.Trace(err)
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	if c.current != nil && versions == c.loaded {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return errors.Trace(err)
	}
	c.current, c.loaded = &certificate, versions
	return nil
}
