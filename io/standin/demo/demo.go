// Package demo runs a small platform in one process: the log service, the
// host list and sample targets, each on an address of its own.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"

	"pineturn/io/standin/hostlist"
	"pineturn/io/standin/log"
	"pineturn/io/standin/server"
	"pineturn/io/standin/target"
)

// Demo is a running platform. Its done channel is closed when all its parts
// have stopped.
type Demo struct {
	log       *log.Service
	hosts     *hostlist.Service
	addresses Addresses
	stops     []func() error
	done      chan struct{}
	err       error
}

// Addresses are where the parts of a platform listen, IP:PORT each.
type Addresses struct {
	Log      string
	Hostlist string
	Targets  []Target
}

// Start runs a platform until ctx ends.
func Start(ctx context.Context, options ...Option) (*Demo, error) {
	chosen := defaults()
	for _, option := range options {
		option(&chosen)
	}
	d := &Demo{log: log.New(), hosts: hostlist.New(hostlist.WithHosts(chosen.hosts)), done: make(chan struct{})}
	if err := d.start(chosen); err != nil {
		return nil, errors.Join(err, d.stop())
	}
	go d.run(ctx)
	return d, nil
}

// Addresses returns where the parts listen.
func (d *Demo) Addresses() Addresses { return d.addresses }

// SetHosts replaces the list of hosts.
func (d *Demo) SetHosts(hosts ...hostlist.Host) { d.hosts.Set(hosts) }

// Done is closed when all parts have stopped, after the context ended.
func (d *Demo) Done() <-chan struct{} { return d.done }

// Err returns what went wrong on stopping, once Done is closed.
func (d *Demo) Err() error { return d.err }

func (d *Demo) run(ctx context.Context) {
	defer close(d.done)
	<-ctx.Done()
	d.err = d.stop()
}

// stop stops the parts in the opposite order of their start.
func (d *Demo) stop() error {
	var failed error
	for i := len(d.stops) - 1; i >= 0; i-- {
		failed = errors.Join(failed, d.stops[i]())
	}
	return failed
}

// onStop adds a part to be stopped.
func (d *Demo) onStop(stop func() error) { d.stops = append(d.stops, stop) }

func (d *Demo) start(chosen settings) error {
	var err error
	if d.addresses.Log, err = d.serve(chosen.logAddress, d.log, nil); err != nil {
		return fmt.Errorf("start log service: %w", err)
	}
	d.onStop(func() error {
		d.log.Close()
		return nil
	})
	if d.addresses.Hostlist, err = d.serve(chosen.hostlistAddress, d.hosts, nil); err != nil {
		return fmt.Errorf("start host list: %w", err)
	}
	for _, asked := range chosen.targets {
		if err := d.startTarget(asked, chosen.audits); err != nil {
			return fmt.Errorf("start target %s: %w", asked.Name, err)
		}
	}
	return nil
}

// serve answers by handler at address, and returns the address as it became.
// wrap changes the listener, if it is not nil.
func (d *Demo) serve(address string, handler http.Handler, wrap func(net.Listener) net.Listener) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	serving := server.New(listener, handler)
	d.onStop(serving.Close)
	return serving.Address(), nil
}

func (d *Demo) startTarget(asked Target, audits string) error {
	options := []target.Option{
		target.WithName(asked.Service, asked.Name),
		target.WithChecked(asked.Checked),
		target.WithSlots(asked.Slots),
		target.WithConnections(asked.Connections),
		target.WithServiceTime(defaultServiceTime),
	}
	if audits != "" {
		path := filepath.Join(audits, asked.Name+".audit.jsonl")
		file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("open audit: %w", err)
		}
		d.onStop(file.Close)
		options = append(options, target.WithAudit(file))
	}
	part := target.New(options...)
	d.onStop(func() error {
		part.Close()
		return nil
	})
	address, err := d.serve(asked.Address, part, part.Listener)
	if err != nil {
		return err
	}
	asked.Address = address
	d.addresses.Targets = append(d.addresses.Targets, asked)
	return nil
}
