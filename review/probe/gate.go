package main

import (
	"net"
	"sync"
)

// gate is the network in front of a worker's machine. While the machine is down, it answers nothing and refuses nothing.
// Once it is up again, connections from before are reset when something is sent on them, and new ones work.
type gate struct {
	target string

	mu    sync.Mutex
	down  bool               // protected by mu
	conns map[*gateConn]bool // protected by mu
}

type gateConn struct {
	gate  *gate
	near  *net.TCPConn
	far   net.Conn
	stale bool // the machine has been down since it was opened; protected by gate.mu
	unack bool // something was sent while the machine was down; protected by gate.mu
}

// newGate listens on a loopback address and forwards connections to the target.
func newGate(target string) (*gate, string, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, "", err
	}
	g := &gate{target: target, conns: map[*gateConn]bool{}}
	go func() {
		for {
			near, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go g.serve(near)
		}
	}()
	return g, l.Addr().String(), nil
}

func (g *gate) serve(near *net.TCPConn) {
	far, err := net.Dial("tcp", g.target)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &gateConn{gate: g, near: near, far: far}
	g.mu.Lock()
	c.stale = g.down
	g.conns[c] = true
	g.mu.Unlock()
	go c.copyBack()
	buffer := make([]byte, 32<<10)
	for {
		n, err := near.Read(buffer)
		if err != nil {
			break
		}
		g.mu.Lock()
		stale, down := c.stale, g.down
		c.unack = c.unack || down
		g.mu.Unlock()
		if stale && !down {
			c.reset()
		}
		if !stale {
			if _, err := far.Write(buffer[:n]); err != nil {
				break
			}
		}
	}
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// copyBack forwards the responses.
func (c *gateConn) copyBack() {
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.far.Read(buffer)
		c.gate.mu.Lock()
		stale := c.stale
		c.gate.mu.Unlock()
		if stale {
			if err != nil {
				return // the end of the old process is not seen
			}
			continue
		}
		if n > 0 {
			if _, err := c.near.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = c.near.Close()
			return
		}
	}
}

// reset closes the connection with a reset.
func (c *gateConn) reset() {
	_ = c.near.SetLinger(0) // fails only on a closed connection
	_ = c.near.Close()
}

// setDown takes the machine down, or up again.
func (g *gate) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
	for c := range g.conns {
		if down {
			c.stale = true
		} else if c.unack {
			c.reset() // what was sent is repeated and meets a machine that doesn't know the connection
		}
	}
}
