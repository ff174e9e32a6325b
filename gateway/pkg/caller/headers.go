package caller

import (
	"net/http"
	"net/textproto"
	"strings"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// excludedHeaders are forwarded in neither direction, because they apply to one connection only, or are read
// or set by the gateway. Idempotency-Key and X-Idempotency-Key are excluded because Go's HTTP client resends
// requests with one of them on its own, also on the connection between sidecar and engine.
var excludedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
	headerAuthorization: true, headerCallerID: true, headerDeadline: true, headerIdempotent: true, headerRequestID: true,
	"Idempotency-Key": true, "X-Idempotency-Key": true,
}

// forwardedHeaders returns the headers that are sent to the endpoint with the request. It leaves out those
// named by the Connection header.
func forwardedHeaders(header http.Header) []*toucanhingev1.Header {
	connectionHeaders := map[string]bool{}
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			connectionHeaders[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var list []*toucanhingev1.Header
	for name, values := range header {
		if excludedHeaders[name] || connectionHeaders[name] {
			continue
		}
		for _, value := range values {
			list = append(list, &toucanhingev1.Header{Name: name, Value: value})
		}
	}
	return list
}
