package mtraw

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// AnswerTwice answers each request of each connection twice, in one write, with the body of the request, until the listener closes.
func AnswerTwice(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go answerTwice(conn)
	}
}

func answerTwice(conn net.Conn) {
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
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, answer+answer); err != nil {
			return
		}
	}
}
