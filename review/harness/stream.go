package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"time"
)

// tagRoute is the route of resumable streams, as `grade-tag` in the site.
var tagRoute = object{"name": "tag", "host": "case.example", "prefix": "/tag/", "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 1500,
	"gap-target-ms": 500, "priority": 2, "service": "writers", "max-attempts": 2, "public": false, "sticky": true, "resumable": true}

// bidRoute is the route of requests that may not be repeated, as `bid-reserve` in the site.
var bidRoute = object{"name": "bid", "host": "case.example", "prefix": "/bid/", "kind": "non_idempotent", "timeout-ms": 600, "target-latency-ms": 100,
	"priority": 2, "service": "desk", "max-attempts": 1, "public": false}

// Stream streams the events after the request's Last-Event-Id, in chunks, and reports
// whether it came to its end.
func (x *Exchange) Stream(events int, gap time.Duration) bool {
	from, _ := strconv.Atoi(x.Request.Header.Get("Last-Event-Id"))
	fmt.Fprintf(x.Conn, "HTTP/1.1 200 OK\r\nTarragonridge-Request-Id: %s\r\nTarragonridge-Response-Signature: sig.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", x.ID, x.Replica.ID, x.ID)
	for n := from; n < events; n++ {
		time.Sleep(gap)
		ev := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n+1, n+1, events)
		if _, err := fmt.Fprintf(x.Conn, "%x\r\n%s\r\n", len(ev), ev); err != nil {
			x.Close = true
			return false
		}
	}
	_, err := x.Conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// stream sends a request for a stream on a new connection and returns its answer.
func stream(g *Process, id, path, body, key, prefix string, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp", g.Callers, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(limit))
	c.Write(append(head("POST", path, "Tarragonridge-Request-Id", id, "Tarragonridge-Model", "m", "Tarragonridge-Token-Usage", "543,80", "Tarragonridge-Prompt-Prefix", prefix,
		"Tarragonridge-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10), "Authorization", "Bearer "+key, "Content-Length", strconv.Itoa(len(body))), body...))
	return readAnswer(bufio.NewReader(c), "POST")
}
