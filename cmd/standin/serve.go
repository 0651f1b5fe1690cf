package main

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"pineturn/io/standin/server"
)

// listen returns a TCP listener on the address. Its error is an inputError.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, inputError{fmt.Errorf("listen: %w", err)}
	}
	return listener, nil
}

// serve prints the address of the listener, serves requests until ctx ends or the
// server fails, and then shuts the server down.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	return await(ctx, server.New(listener, handler))
}

// await waits until ctx is done or a server ends, and closes the server.
func await(ctx context.Context, running *server.Server) error {
	fmt.Println("listening", running.Address())
	select {
	case <-ctx.Done():
	case <-running.Done():
	}
	return running.Close()
}
