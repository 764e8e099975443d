package messenger

import (
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Unsent reports whether a failed call certainly never reached the other process: its connection could not be made.
func Unsent(err error) bool {
	s, ok := status.FromError(err)
	if !ok {
		return false
	}
	switch s.Code() {
	case codes.Unavailable:
		return strings.Contains(s.Message(), "connection error")
	case codes.DeadlineExceeded, codes.Canceled:
		return strings.Contains(s.Message(), "while waiting for connections to become ready")
	}
	return false
}
