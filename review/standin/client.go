package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "6wsjnbanfqasnmgkcuyj"

// client keeps one connection to the outbound address of a machine open for many requests.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// outcome is what a client has seen of one attempt.
type outcome struct {
	// status is 0 without an answer.
	status int
	body   []byte
	header http.Header
	// bytes is the number of bytes that came before the connection ended.
	bytes int64
	kept  bool
	err   error
}

// countingConn counts what is read.
type countingConn struct {
	net.Conn
	n int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n += int64(n)
	return n, err
}

// send sends one request over the kept connection and waits for the answer.
func (c *client) send(method, host, path, id string, limit time.Duration) outcome {
	kept := c.conn != nil
	if c.conn == nil {
		raw, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return outcome{err: err}
		}
		c.conn = &countingConn{Conn: raw}
		c.reader = bufio.NewReader(c.conn)
	}
	counting := c.conn.(*countingConn)
	counting.n = 0
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nGuavaford-Attempt-Id: %s\r\nGuavaford-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, id, limit.Milliseconds(), apiKey)
	if method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"); err != nil {
		c.close()
		return outcome{kept: kept, err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		o := outcome{bytes: counting.n, kept: kept, err: err}
		c.close()
		return o
	}
	body, err := io.ReadAll(resp.Body)
	o := outcome{status: resp.StatusCode, body: body, header: resp.Header, bytes: counting.n, kept: kept, err: err}
	if err != nil || resp.Close {
		c.close()
	}
	return o
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
