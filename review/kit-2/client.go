package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// lastID numbers the attempts of all clients.
var lastID atomic.Uint64

// nextID returns an ID that no other attempt has.
func nextID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// client is a connection of a client to a daemon.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// requestText returns a request without a body.
func requestText(method, target, id string, budget time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", method, target, host,
		protocol("header.requestId"), id, protocol("header.deadline"), budget.Milliseconds())
}

// readHead reads the head of the next answer.
func (client *client) readHead(method string) (*http.Response, error) {
	return http.ReadResponse(client.reader, &http.Request{Method: method})
}
