package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the connection, before the answer was complete
	close  bool  // the connection is to be closed after the answer
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer: " + endOf(a.err)
	}
	s := fmt.Sprintf("%d", a.status)
	if sig := a.header.Get("Tarragonridge-Response-Signature"); sig != "" {
		s += ", signature " + sig
	}
	if a.err != nil {
		s += ", incomplete: " + a.err.Error()
	}
	return s
}

// readAnswer reads one answer from a connection.
func readAnswer(reader *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, close: resp.Close}
}

// call sends a request on a new connection and returns its answer.
func call(address string, request []byte, method string, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(limit))
	if _, err := c.Write(request); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), method)
}

func endOf(err error) string {
	switch {
	case err == nil:
		return "a plain end, which completes it"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "the connection was closed"
	case errors.Is(err, syscall.ECONNRESET):
		return "the connection was reset"
	}
	return err.Error()
}
