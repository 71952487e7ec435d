// Package porttest allocates loopback addresses for tests to listen on.
package porttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/juju/errors"
)

// The ports lie below the ephemeral range, so that no outgoing connection of a concurrent test takes one between its
// allocation and the call to listen.
const (
	firstPort = 10_000
	portCount = 20_000
)

// lastOffset is the offset of the last allocated port. Its random start keeps concurrent test processes apart.
var lastOffset atomic.Uint32

func init() { lastOffset.Store(rand.Uint32N(portCount)) }

// Address returns a free loopback address (IP:port).
func Address() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastOffset.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, errors.Trace(l.Close())
		}
	}
	return "", errors.New("no free loopback port")
}
