package main

import (
	"net"
	"time"
)

// limitedLink forwards connections to an address over one link of limited bandwidth in each direction.
type limitedLink struct {
	target    string
	bytesPerS float64
	up, down  chan struct{} // held while a chunk is on the link in that direction
}

// newLimitedLink listens on a loopback address and returns it.
func newLimitedLink(target string, mbps int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	link := &limitedLink{target: target, bytesPerS: float64(mbps) * 1e6 / 8, up: make(chan struct{}, 1), down: make(chan struct{}, 1)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go link.forward(conn)
		}
	}()
	return l.Addr().String(), nil
}

func (l *limitedLink) forward(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	go l.copy(far, near, l.up)
	l.copy(near, far, l.down)
}

// copy forwards one direction. Chunks are small, so that connections share the link.
func (l *limitedLink) copy(to, from net.Conn, direction chan struct{}) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			direction <- struct{}{}
			time.Sleep(time.Duration(float64(n) / l.bytesPerS * float64(time.Second)))
			<-direction
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
