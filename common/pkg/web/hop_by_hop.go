package web

// HopByHop lists the fields of a header that belong to one connection, or to the framing of one message. They are not
// forwarded.
var HopByHop = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true,
}
