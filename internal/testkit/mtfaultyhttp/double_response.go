package mtfaultyhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// ServeDoubleResponses serves a listener until it closes. It sends two responses to each request in a single write; the body of
// both is the body of the request.
func ServeDoubleResponses(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(conn)
	}
}

func serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, response+response); err != nil {
			return
		}
	}
}
