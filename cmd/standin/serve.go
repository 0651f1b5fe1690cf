package main

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"pineturn/io/standin/server"
)

// listen opens the address that a command serves on.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, badInput{fmt.Errorf("listen: %w", err)}
	}
	return listener, nil
}

// serve says where it listens, answers until ctx ends, and then stops in good
// order.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	serving := server.New(listener, handler)
	fmt.Println("listening", serving.Address())
	select {
	case <-ctx.Done():
	case <-serving.Done():
	}
	return serving.Close()
}
