package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// client is a stand-in for one client, with a connection that it keeps.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// result is what a client has seen of one attempt. Status 0 means no complete answer.
type result struct {
	status     int
	stamp      string
	body       string
	retryAfter time.Duration
	err        error
}

// do sends one attempt on the kept connection, or on a new one.
func (c *client) do(method, path, id string, limit time.Duration, body string) result {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return result{err: err}
		}

		c.conn, c.reader = conn, bufio.NewReader(conn)
	}

	_ = c.conn.SetDeadline(time.Now().Add(limit))

	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostName, id, limit.Milliseconds())
	if method != http.MethodGet {
		request += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}

	if _, err := io.WriteString(c.conn, request+"\r\n"+body); err != nil {
		c.close()

		return result{err: err}
	}

	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()

		return result{err: err}
	}

	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()

		return result{err: err}
	}

	if resp.Close {
		c.close()
	}

	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)

	return result{
		status: resp.StatusCode, stamp: resp.Header.Get("X-Response-Stamp"), body: string(b),
		retryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
