package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
)

// Usage is what a process uses.
type Usage struct {
	Alive       bool
	Memory      int64 // bytes: resident, and received by the kernel for the process and not read
	Descriptors int
}

// UsageOf returns what a process uses that listens on a port.
func UsageOf(pid, port int) Usage {
	resident, _ := StatusBytes(pid, "VmRSS:")
	sockets := map[string]bool{}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil || resident == 0 {
		return Usage{}
	}
	for _, entry := range entries {
		if link, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, entry.Name())); err == nil {
			sockets[link] = true
		}
	}
	return Usage{Alive: true, Memory: resident + unreadBytes(sockets, port), Descriptors: len(entries)}
}

// StatusBytes returns a size from the status of a process.
func StatusBytes(pid int, name string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no %s", name)
}

// unreadBytes returns what the kernel holds of the sockets, and of the connections to a port
// that were not accepted yet.
func unreadBytes(sockets map[string]bool, port int) (sum int64) {
	const listening = "0A"
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		fields := strings.Fields(string(line))
		if len(fields) < 10 || fields[3] == listening {
			continue
		}
		own := sockets["socket:["+fields[9]+"]"] || fields[9] == "0" && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port))
		_, received, ok := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(received, 16, 64); own && ok && err == nil {
			sum += n
		}
	}
	return sum
}

// Limited returns a command whose process may have so many descriptors.
func Limited(descriptors int, binary string, args ...string) *exec.Cmd {
	return exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), binary}, args...)...)
}
