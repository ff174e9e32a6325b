package http1test

import (
	"fmt"
	"net"
	"net/http"
)

// Broken is an answer that no reader may take.
type Broken struct {
	Name   string
	Server *Server
	// Request is the body of the request to send. It is long if the answer is broken only while its request is being sent.
	Request []byte
	// HeadSound tells that only what comes behind the head is broken.
	HeadSound bool
}

// Brokens returns an answer broken in each way, with a body that its reader would take.
func Brokens(body string) []Broken {
	const ok, none, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 000 None\r\n", "HTTP/1.1 103 Early Hints\r\n"
	sized := sized(body)
	question := []byte("{}")
	var list []Broken
	for _, c := range []struct{ name, answer string }{
		{"status 000", none + sized},
		{"status 000 and another answer", none + "\r\n" + ok + sized},
		{"status 099", "HTTP/1.1 099 None\r\n" + sized},
		{"an interim answer with a body", interim + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(ok+sized)) + ok + sized},
		{"a blank in a name", ok + "X B: 1\r\n" + sized},
		{"a blank behind a name", ok + "X-B : 1\r\n" + sized},
		{"a blank before a name", ok + "X-A: 1\r\n X-B: 1\r\n" + sized},
		{"a blank in a name of an interim answer", interim + "X B: 1\r\n\r\n" + ok + sized},
		{"a bell in a name", ok + "X\aB: 1\r\n" + sized},
	} {
		list = append(list, Broken{Name: c.name, Server: &Server{Answers: []string{c.answer}}, Request: question})
	}
	length := &Server{Answers: []string{ok + "Content-Length : 1\r\n\r\n" + body}, End: Close}
	list = append(list, Broken{Name: "a blank behind the name of the length", Server: length, Request: question})
	trailer := &Server{Answers: []string{ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body) + "X B: 1\r\n\r\n"}}
	list = append(list, Broken{Name: "a blank in a name of a trailer", Server: trailer, Request: question, HeadSound: true})
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn, *http.Request)
	}{{"reset", Reset}, {"closed", Close}, {"closed for sending", CloseSending}} {
		server := &Server{Answers: []string{ok + "\r\n" + body}, Early: true, End: c.end}
		list = append(list, Broken{Name: "an early answer, " + c.name, Server: server, Request: make([]byte, LongBytes), HeadSound: true})
	}
	return list
}

// sized returns the end of a head that announces a body, and the body.
func sized(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// chunks returns a body in chunks, up to its trailer.
func chunks(body string) string {
	if body == "" {
		return "0\r\n"
	}
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
}
