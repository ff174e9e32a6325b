package failure

import (
	"connectrpc.com/connect"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func listLinkRequest(name string) *connect.Request[toucanhingev1.ListEntriesRequest] {
	return connect.NewRequest(&toucanhingev1.ListEntriesRequest{Kind: toucanhingev1.Kind_KIND_LINK, Name: name})
}

func applyRequest(entry *toucanhingev1.Entry) *connect.Request[toucanhingev1.ApplyRequest] {
	return connect.NewRequest(&toucanhingev1.ApplyRequest{RequestId: "cut-off", Entry: entry, Author: "lab"})
}
