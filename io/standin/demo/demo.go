// Package demo runs a small platform in one process: the log service, the host
// list and sample targets, each on its own address.
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

// Demo is a running platform. The channel done is closed when all its services
// have stopped.
type Demo struct {
	log       *log.Service
	hosts     *hostlist.Service
	addresses Addresses
	stopFuncs []func() error
	done      chan struct{}
	err       error
}

// Addresses are the addresses of a platform's services, in the form IP:PORT.
type Addresses struct {
	Log      string
	Hostlist string
	Targets  []Target
}

// Start starts a platform, which runs until ctx ends. If a service fails to
// start, Start stops the others and returns the error.
func Start(ctx context.Context, options ...Option) (*Demo, error) {
	cfg := defaults()
	for _, option := range options {
		option(&cfg)
	}
	d := &Demo{log: log.New(), hosts: hostlist.New(hostlist.WithHosts(cfg.hosts)), done: make(chan struct{})}
	if err := d.start(cfg); err != nil {
		return nil, errors.Join(err, d.stop())
	}
	go d.run(ctx)
	return d, nil
}

// Addresses returns the addresses on which the services listen.
func (d *Demo) Addresses() Addresses { return d.addresses }

// SetHosts replaces the list of hosts.
func (d *Demo) SetHosts(hosts ...hostlist.Host) { d.hosts.Set(hosts) }

// Done returns a channel that is closed when all services have stopped after the
// end of the context.
func (d *Demo) Done() <-chan struct{} { return d.done }

// Err returns the errors of stopping the services. It is valid after Done is closed.
func (d *Demo) Err() error { return d.err }

func (d *Demo) run(ctx context.Context) {
	defer close(d.done)
	<-ctx.Done()
	d.err = d.stop()
}

// stop stops the services in the reverse order of their start.
func (d *Demo) stop() error {
	var errs error
	for i := len(d.stopFuncs) - 1; i >= 0; i-- {
		errs = errors.Join(errs, d.stopFuncs[i]())
	}
	return errs
}

// onStop adds a function that stop calls.
func (d *Demo) onStop(stop func() error) { d.stopFuncs = append(d.stopFuncs, stop) }

func (d *Demo) start(cfg settings) error {
	var err error
	if d.addresses.Log, err = d.serve(cfg.logAddress, d.log, nil); err != nil {
		return fmt.Errorf("start log service: %w", err)
	}
	d.onStop(func() error {
		d.log.Close()
		return nil
	})
	if d.addresses.Hostlist, err = d.serve(cfg.hostlistAddress, d.hosts, nil); err != nil {
		return fmt.Errorf("start host list: %w", err)
	}
	for _, spec := range cfg.targets {
		if err := d.startTarget(spec, cfg.auditFolder); err != nil {
			return fmt.Errorf("start target %s: %w", spec.Name, err)
		}
	}
	return nil
}

// serve serves handler on address, and returns the address with the actual port.
// If wrap is not nil, it wraps the listener.
func (d *Demo) serve(address string, handler http.Handler, wrap func(net.Listener) net.Listener) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	if wrap != nil {
		listener = wrap(listener)
	}
	srv := server.New(listener, handler)
	d.onStop(srv.Close)
	return srv.Address(), nil
}

func (d *Demo) startTarget(spec Target, auditFolder string) error {
	options := []target.Option{
		target.WithName(spec.Service, spec.Name),
		target.WithChecked(spec.Checked),
		target.WithSlots(spec.Slots),
		target.WithConnections(spec.Connections),
		target.WithServiceTime(defaultServiceTime),
	}
	if auditFolder != "" {
		path := filepath.Join(auditFolder, spec.Name+".audit.jsonl")
		file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("open audit file: %w", err)
		}
		d.onStop(file.Close)
		options = append(options, target.WithAudit(file))
	}
	service := target.New(options...)
	d.onStop(func() error {
		service.Close()
		return nil
	})
	address, err := d.serve(spec.Address, service, service.Listener)
	if err != nil {
		return err
	}
	spec.Address = address
	d.addresses.Targets = append(d.addresses.Targets, spec)
	return nil
}
