package controller

import (
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// unsent reports whether a failed call certainly never reached the other process: its connection could not be made.
func unsent(err error) bool {
	s, ok := status.FromError(err)
	return ok && s.Code() == codes.Unavailable && strings.Contains(s.Message(), "connection error")
}
