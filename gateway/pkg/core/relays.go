package core

import (
	"net/http"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// relays keeps the connection to the gateway from which this one hears. Asking another one
// closes it: a gateway has a few children, and shall not hold connections of others. The
// zero value has none.
type relays struct {
	address string
	http    *http.Client
	calls   toucanhingev1connect.NewsServiceClient
}

// client returns the calls to one gateway.
func (r *relays) client(address string) toucanhingev1connect.NewsServiceClient {
	if r.address == address && r.calls != nil {
		return r.calls
	}
	r.close()
	r.address, r.http = address, web.NewClient()
	r.calls = toucanhingev1connect.NewNewsServiceClient(r.http, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
	return r.calls
}

// drop forgets the connection to a gateway that gave no news: it may be silent for good.
func (r *relays) drop(address string) {
	if r.address == address {
		r.close()
	}
}

func (r *relays) close() {
	if r.http != nil {
		r.http.CloseIdleConnections()
	}
	r.address, r.http, r.calls = "", nil, nil
}
