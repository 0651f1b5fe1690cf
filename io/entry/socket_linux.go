package entry

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitSilence has the kernel end a connection whose bytes stay unacknowledged.
func limitSilence(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
