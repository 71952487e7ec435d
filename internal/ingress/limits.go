package ingress

import (
	"net/http"
	"syscall"
	"time"
)

// What the process needs beside its clients' connections.
const (
	// fileDescriptors are kept for files, by the platform's rules.
	fileDescriptors = 200
	// ownDescriptors are up to 8 connections to each of 350 workers, and those to the store, the instance service, the
	// advice service and the owner.
	ownDescriptors = 8*350 + 100
	// maxDescriptors bounds the limit of a process that has none.
	maxDescriptors = 1 << 16
	minConnections = 16
)

// Shares of the memory of an instance. An owner on the smallest one (184 MB) may hold 100 MB itself. The account takes
// 23 MB, the connections 736 times some 30 KB of the process and up to 64 KB of the kernel, of which a crowd fills a part.
const (
	accountShare     = 8 // of the memory: 1/8
	connectionsPerMB = 4
	// minMemory holds a request of the largest size, and unlimitedMemory is the account of a process without a limit.
	minMemory, unlimitedMemory = 4 << 20, 64 << 20
)

// Progress of bodies: MinBytes within Window is what each of 900 clients gets that share a link of 10 Mbit/s. Clients wait
// 3 s for an answer.
var defaultPace = Pace{MinBytes: 4 << 10, Window: 3 * time.Second, Limit: 20 * time.Second}

const defaultAnswerStall = 5 * time.Second

// DefaultLimits returns the limits of an instance with some megabytes of memory and a number of descriptors; 0 is unlimited.
func DefaultLimits(memoryMB, maxFDs int) Limits {
	l := Limits{
		MemoryBytes: unlimitedMemory, Connections: connections(descriptors(maxFDs)),
		Body: defaultPace, AnswerStall: defaultAnswerStall,
	}
	if memoryMB > 0 {
		l.MemoryBytes = max(minMemory, int64(memoryMB)<<20/accountShare)
		l.Connections = max(minConnections, min(l.Connections, int64(memoryMB)*connectionsPerMB))
	}
	return l
}

// Limits of a connection with HTTP/2, whose streams share it.
const (
	http2Streams     = 32
	http2BufferBytes = 64 << 10
)

// HTTP2 returns the limits of connections with HTTP/2.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: http2Streams, MaxReceiveBufferPerConnection: http2BufferBytes, MaxReceiveBufferPerStream: http2BufferBytes,
	}
}

// descriptors returns a limit of descriptors, or that of the process if it is 0.
func descriptors(maxFDs int) int64 {
	if maxFDs > 0 {
		return int64(maxFDs)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int64(limit.Cur)
}

// connections returns how many connections may be accepted with a limit of descriptors.
func connections(descriptors int64) int64 {
	free := descriptors - fileDescriptors
	return max(minConnections, free-min(ownDescriptors, free*3/4))
}
