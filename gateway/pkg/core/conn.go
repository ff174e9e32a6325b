package core

import (
	"net/http"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// gatewayConn is the connection to the gateway from which this one receives updates. Connecting to
// another gateway closes it, since a gateway holds the connections of its few subscribers only. The zero
// value is unconnected.
type gatewayConn struct {
	address string
	http    *http.Client
	updates toucanhingev1connect.NewsServiceClient
}

// client returns the client for a gateway, and connects to it if necessary.
func (c *gatewayConn) client(address string) toucanhingev1connect.NewsServiceClient {
	if c.address == address && c.updates != nil {
		return c.updates
	}
	c.close()
	c.address, c.http = address, web.NewClient()
	c.updates = toucanhingev1connect.NewNewsServiceClient(c.http, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
	return c.updates
}

// drop closes the connection to a gateway that returned no updates: it may never answer again.
func (c *gatewayConn) drop(address string) {
	if c.address == address {
		c.close()
	}
}

func (c *gatewayConn) close() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.address, c.http, c.updates = "", nil, nil
}
