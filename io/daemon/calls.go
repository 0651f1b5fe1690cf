package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"pineturn/core/message"
	"pineturn/core/record"
)

// onCall handles a control call of another host and returns the reply.
func (d *Daemon) onCall(_ context.Context, from record.Member, call *message.Call) (*message.Reply, error) {
	now := d.now()
	switch {
	case call.Ping != nil:
		if !d.reader.Up() {
			d.heartbeater.catchUpIfBehind(from, call.Ping.Next)
		}
		pong := d.host.OnPing(now)
		return &message.Reply{Ping: &pong}, nil
	case call.Release != nil:
		released := d.host.OnRelease(*call.Release, now)
		return &message.Reply{Release: &released}, nil
	case call.Catchup != nil:
		reply, err := d.host.OnCatchup(call.Catchup.From)
		return &message.Reply{Catchup: &reply}, errors.Wrap(err, "catch up")
	case call.Report != nil:
		d.host.OnReport(*call.Report, now)
		signal(d.proposer.wake)
		return &message.Reply{Report: &message.ReportReply{}}, nil
	case call.Promise != nil:
		promised := d.host.OnPromise(*call.Promise, now)
		return &message.Reply{Promise: &promised}, nil
	case call.HeldTargets != nil:
		return &message.Reply{HeldTargets: d.heldTargets()}, nil
	case call.Witness != nil:
		return d.requests.onWitness(call.Witness)
	case call.IDs != nil:
		return d.requests.onIDQuery(from, call.IDs)
	}
	return nil, errors.New("no question that this release knows")
}
