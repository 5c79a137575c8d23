package crowd

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// defaultTime is how long a crowd stays.
	defaultTime = 4 * time.Second
	// sampleInterval is the time between two samples of what a process uses.
	sampleInterval = 50 * time.Millisecond
	// ordinaryInterval is the time between two ordinary requests beside a crowd.
	ordinaryInterval = 500 * time.Millisecond
	// settleTime is the time between the end of a crowd and the last ordinary request.
	settleTime = time.Second
)

// Environment variables for runs by hand.
const (
	secondsVariable = "CROWD_SECONDS" // how long a crowd stays
	factorVariable  = "CROWD_FACTOR"  // multiplies the connections
)

// Process is a process that crowds reach.
type Process struct {
	PID     int
	Address string
	// Ordinary sends one ordinary request and fails if it is not served.
	Ordinary func() error
}

// Bounds are what a process may use. 0 means no bound.
type Bounds struct {
	Memory      int64 // bytes: resident, and received by the kernel and not read
	Descriptors int
}

// Report is what was seen of a process while a crowd was there.
type Report struct {
	Most            Usage
	Connections     int64 // that the crowd opened
	Served, Refused int   // ordinary requests meanwhile
	LastRefusal     error
	Afterwards      error // of the ordinary request after the crowd
}

// String formats the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("%d MB, %d descriptors, %d connections of the crowd, %d ordinary requests served meanwhile, %d not (%v)",
		r.Most.Memory>>20, r.Most.Descriptors, r.Connections, r.Served, r.Refused, r.LastRefusal)
}

// Check returns what the process did that it must not.
func (b Bounds) Check(r Report) error {
	if !r.Most.Alive {
		return eris.New("the process has ended")
	}
	var errs []error
	if r.Most.Memory > b.Memory && b.Memory > 0 {
		errs = append(errs, eris.Errorf("%d MB, the bound is %d MB", r.Most.Memory>>20, b.Memory>>20))
	}
	if r.Most.Descriptors > b.Descriptors && b.Descriptors > 0 {
		errs = append(errs, eris.Errorf("%d descriptors, the bound is %d", r.Most.Descriptors, b.Descriptors))
	}
	if r.Afterwards != nil {
		errs = append(errs, eris.Wrap(r.Afterwards, "the ordinary request after the crowd"))
	}
	return errors.Join(errs...)
}

// Play lets a crowd at a process. Ordinary requests meanwhile are counted only.
func (p Process) Play(kinds ...Kind) (Report, error) {
	_, portText, err := net.SplitHostPort(p.Address)
	if err != nil {
		return Report{}, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return Report{}, err
	}
	seconds, err := fromEnvironment(secondsVariable, int(defaultTime/time.Second))
	if err != nil {
		return Report{}, err
	}
	factor, err := fromEnvironment(factorVariable, 1)
	if err != nil {
		return Report{}, err
	}
	var r Report
	c := Start(p.Address, factor, kinds...)
	stop, asked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(asked)
		p.askUntil(stop, &r)
	}()
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); time.Sleep(sampleInterval) {
		usage := UsageOf(p.PID, port)
		if r.Most.Alive = usage.Alive; !usage.Alive {
			break
		}
		r.Most.Memory, r.Most.Descriptors = max(r.Most.Memory, usage.Memory), max(r.Most.Descriptors, usage.Descriptors)
	}
	close(stop)
	c.End()
	<-asked
	r.Connections = c.opened.Load()
	peak, err := StatusBytes(p.PID, "VmHWM:")
	if err != nil {
		r.Most.Alive = false // the process is gone
		return r, nil
	}
	r.Most.Memory = max(r.Most.Memory, peak)
	time.Sleep(settleTime)
	r.Afterwards = p.Ordinary()
	return r, nil
}

// askUntil sends ordinary requests until stop is closed.
func (p Process) askUntil(stop <-chan struct{}, r *Report) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(ordinaryInterval):
		}
		if err := p.Ordinary(); err != nil {
			r.Refused, r.LastRefusal = r.Refused+1, err
		} else {
			r.Served++
		}
	}
}

// fromEnvironment returns the number in an environment variable.
func fromEnvironment(name string, otherwise int) (int, error) {
	text := os.Getenv(name)
	if text == "" {
		return otherwise, nil
	}
	return strconv.Atoi(text)
}
