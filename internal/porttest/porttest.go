// Package porttest allocates loopback addresses for tests to listen on.
package porttest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// The ports lie below the ephemeral range, so that no outgoing connection of a concurrent test takes one between its
// allocation and the call to listen. They are divided into blocks, each for one process at a time.
const (
	firstPort     = 10_000
	portCount     = 20_000
	portsPerBlock = 100
	blockCount    = portCount / portsPerBlock
)

// allocator hands out the ports of the blocks that this process has locked.
type allocator struct {
	mu sync.Mutex
	// locks holds the lock files of the blocks open until the process ends; protected by mu.
	locks []*os.File
	// next and end are the rest of the last block; protected by mu.
	next, end int
}

var ports allocator

// Address returns a free loopback address (IP:port) that no other test process gets while this one runs.
func Address() (string, error) {
	for range portCount {
		port, err := ports.take()
		if err != nil {
			return "", err
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, errors.Trace(l.Close())
		}
	}
	return "", errors.New("no free loopback port")
}

func (a *allocator) take() (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.next == a.end {
		if err := a.lockBlock(); err != nil {
			return 0, err
		}
	}
	a.next++
	return a.next - 1, nil
}

// lockBlock locks a block that no process holds. The caller holds mu.
func (a *allocator) lockBlock() error {
	directory := filepath.Join(os.TempDir(), "pollenford-test-ports")
	if err := os.MkdirAll(directory, 0o777); err != nil {
		return errors.Annotate(err, "locking ports")
	}
	for _, block := range rand.Perm(blockCount) {
		file, err := os.OpenFile(filepath.Join(directory, fmt.Sprint(block)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			return errors.Annotate(err, "locking ports")
		}
		if unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			_ = file.Close() // another process, or an earlier call, holds it
			continue
		}
		a.locks = append(a.locks, file)
		a.next = firstPort + block*portsPerBlock
		a.end = a.next + portsPerBlock
		return nil
	}
	return errors.New("all blocks of ports are in use")
}
