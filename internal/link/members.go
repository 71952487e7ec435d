package link

import (
	"net/http"
	"strconv"
	"sync"
)

// memoryParameter is the query parameter with the memory of the connecting instance in megabytes, if it has a limit. Earlier
// versions do not send it.
const memoryParameter = "memory_mb"

// members holds the memory of the instances that are connected.
type members struct {
	mu     sync.Mutex
	memory map[*serverConn]int64 // in megabytes; protected by mu
}

// add adds the instance at the other end of a connection.
func (m *members) add(c *serverConn, r *http.Request) {
	megabytes, err := strconv.ParseInt(r.URL.Query().Get(memoryParameter), 10, 64)
	if err != nil || megabytes <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.memory == nil {
		m.memory = map[*serverConn]int64{}
	}
	m.memory[c] = megabytes
}

func (m *members) remove(c *serverConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.memory, c)
}

// SmallestMB returns the memory of the smallest connected instance in megabytes, 0 if none is known.
func (s *Server) SmallestMB() int64 {
	s.members.mu.Lock()
	defer s.members.mu.Unlock()
	smallest := int64(0)
	for _, megabytes := range s.members.memory {
		if smallest == 0 || megabytes < smallest {
			smallest = megabytes
		}
	}
	return smallest
}
