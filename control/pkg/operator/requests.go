package operator

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/control/pkg/replica"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func requestBytes(request *toucanhingev1.ApplyRequest) int {
	return proto.Size(request)
}

func asRefused(err error, refused **replica.RefusedError) bool {
	return errors.As(err, refused)
}
