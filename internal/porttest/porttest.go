// Package porttest gives tests addresses to listen on.
package porttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/juju/errors"
)

// Ports are below the range from which the system takes the ports of outgoing connections. A port of that range can be
// taken by a test that runs beside this one, before the process that it is meant for listens on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

// nextPort counts the ports given out, from a random start, because other test processes run at the same time.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// Address returns a free loopback address (IP:port).
func Address() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, errors.Trace(l.Close())
		}
	}
	return "", errors.New("no free port")
}
