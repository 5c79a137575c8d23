// Package freeport finds loopback addresses for processes that listen only later.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// minPort is the least port that is returned.
	minPort = 10_000
	// defaultEphemeral is the first port that the system gives out by itself, if it does not
	// tell.
	defaultEphemeral = 32_768
	attempts         = 100
)

// Address returns a loopback address on which nothing listens. The system gives its port to no
// connection or listener that names none, so that it stays free.
func Address() (string, error) {
	end := firstEphemeral()
	if end <= minPort {
		return "", eris.Errorf("the system gives out all ports from %d on", end)
	}
	for range attempts {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+rand.IntN(end-minPort)))
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return address, ln.Close()
		}
	}
	return "", eris.Errorf("no free port from %d to %d", minPort, end)
}

// firstEphemeral returns the first port that the system gives out by itself.
func firstEphemeral() (first int) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultEphemeral
	}
	if _, err := fmt.Sscan(string(data), &first); err != nil {
		return defaultEphemeral
	}
	return first
}
