package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// maxClientIdle is four fifths of the idle timeout; a client does not use a connection that has been idle for longer.
const maxClientIdle = 12 * time.Second

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// resolve asks the directory of a gateway for addresses.
func (w *world) resolve() ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, index := range rand.Perm(len(w.gateways)) {
		response, err := client.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=%s&zone=%s",
			w.gateways[index].directory(), url.QueryEscape(host), region, zone))
		if err != nil {
			continue
		}
		answer := struct {
			Addresses []string `json:"addresses"`
		}{}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses, nil
		}
	}
	return nil, errors.New("no directory answers")
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	written sync.Mutex
}

// dial connects to one of the addresses that the directory names.
func (w *world) dial() (*clientConn, error) {
	addresses, err := w.resolve()
	if err != nil {
		return nil, err
	}
	for _, index := range rand.Perm(len(addresses)) {
		conn, err := net.DialTimeout("tcp", addresses[index], time.Second)
		if err == nil {
			return &clientConn{Conn: conn, address: addresses[index], reader: bufio.NewReaderSize(conn, 64<<10)}, nil
		}
	}
	return nil, errors.New("no address can be reached")
}

// head returns the header of a request.
func head(method, path, id string, deadline time.Duration, length int, extra string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nMangotack-Attempt-Id: %s\r\nMangotack-Request-Deadline: %d\r\n%s",
		method, path, host, id, deadline.Milliseconds(), extra)
	if length > 0 || method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// result is what a client got for a request.
type result struct {
	status int
	id     string
	body   []byte
	seal   string
	close  bool
	err    error
}

// readAnswer reads the next answer.
func (c *clientConn) readAnswer(method string, deadline time.Time) result {
	c.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode,
		id:     response.Header.Get("Mangotack-Attempt-Id"),
		seal:   response.Header.Get("Mangotack-Response-Seal"),
		body:   body,
		close:  response.Close,
		err:    err,
	}
}

// isSuccess reports whether a client accepts the answer as the target's.
func (r result) isSuccess(id string) bool {
	return r.err == nil && r.status/100 == 2 && r.id == id && r.seal == seal(id, r.body)
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, error: %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, %d bytes", r.status, len(r.body))
}
