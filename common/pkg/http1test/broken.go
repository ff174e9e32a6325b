package http1test

import (
	"fmt"
	"net"
	"net/http"
)

// BrokenAnswer is an answer that no reader may take.
type BrokenAnswer struct {
	Name   string
	Server *Server
	// Request is the body of the request to send. It is long if the answer is broken only while its request is being sent.
	Request []byte
	// HeadSound tells that only what comes behind the head is broken.
	HeadSound bool
}

// BrokenAnswers returns an answer broken in each way, with a body that its reader would take.
func BrokenAnswers(body string) []BrokenAnswer {
	const ok, none, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 000 None\r\n", "HTTP/1.1 103 Early Hints\r\n"
	sized := sized(body)
	question := []byte("{}")
	var list []BrokenAnswer
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
		list = append(list, BrokenAnswer{Name: c.name, Server: &Server{Answers: []string{c.answer}}, Request: question})
	}
	length := &Server{Answers: []string{ok + "Content-Length : 1\r\n\r\n" + body}, End: Close}
	list = append(list, BrokenAnswer{Name: "a blank behind the name of the length", Server: length, Request: question})
	trailer := &Server{Answers: []string{ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body) + "X B: 1\r\n\r\n"}}
	list = append(list, BrokenAnswer{Name: "a blank in a name of a trailer", Server: trailer, Request: question, HeadSound: true})
	for _, c := range Cuts() {
		server := &Server{Answers: []string{ok + "\r\n" + body}, Early: true, End: c.End}
		list = append(list, BrokenAnswer{Name: "an early answer, " + c.Name, Server: server, Request: make([]byte, LongBytes), HeadSound: true})
	}
	return list
}

// Cut is a way to end the connection of an early answer under its request.
type Cut struct {
	Name string
	End  func(*net.TCPConn, *http.Request)
	// Calls is how many calls show what a client makes of it: which of its reader and writer meets a reset first differs from
	// call to call.
	Calls int
}

// Cuts returns the ways to end the connection of an early answer under its request.
func Cuts() []Cut {
	const calls = 10
	return []Cut{{"reset", Reset, calls}, {"closed", Close, calls}, {"closed for sending", CloseSending, 1}}
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
