package main

import (
	"fmt"
	"net/http"
	"time"
)

// lateRefusal: busy backends of a service whose requests may run once refuse some of them; one
// backend gives few of these answers a second time, late.
func lateRefusal(b *bed) error {
	s := service{name: "payoutledger"}
	if err := b.configure(3, []service{s}, []route{{prefix: "/payout/", service: s.name, kind: "unsafe", timeoutS: 1.2, targetLatencyS: 0.6, maxAttempts: 2}}); err != nil {
		return err
	}
	garbling := &spoiler{wanted: func(status int, order bool) bool { return !order && status == http.StatusServiceUnavailable }}
	for i, zone := range []string{"pos-a", "pos-b"} {
		t, err := b.startBackend(fmt.Sprintf("i-payout%d", i+1), zone, s, 2, 2, 210*time.Millisecond)
		if err != nil {
			return err
		}
		if i == 0 && b.trouble {
			t.spoil = garbling.spoil
		}
	}
	if err := b.startHosts("pos-a", "pos-b"); err != nil {
		return err
	}
	var clients []*client
	for i := range 12 {
		clients = append(clients, b.newClient(b.hosts[i%2], http.MethodPost, "/payout/1", -1, 2500*time.Millisecond, make([]byte, 1200)))
	}
	end := b.clumps(clients, 700*time.Millisecond)
	for range 4 {
		time.Sleep(3 * time.Second)
		garbling.begin()
		time.Sleep(spoilTime)
		if err := garbling.end(b, b.backends[0].id); b.trouble && err != nil {
			return err
		}
	}
	end()
	time.Sleep(3 * time.Second)
	return b.judgeOnce(clients)
}

// judgeOnce judges the rules TWICE and REFUSED.
func (b *bed) judgeOnce(clients []*client) error {
	served, twice, refused := 0, 0, 0
	for _, c := range clients {
		for _, a := range c.attempts {
			runs := b.runsOf(a.id)
			if a.status == http.StatusOK {
				served++
			}
			if len(runs) > 1 {
				twice++
				b.record.printf("TWICE: %s ran at %s and at %s", a.id, runs[0].backend, runs[1].backend)
			}
			switch a.status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				if len(runs) > 0 {
					refused++
					b.record.printf("REFUSED: %s was answered %d and ran at %s", a.id, a.status, runs[0].backend)
				}
			}
		}
	}
	b.record.printf("%d served, %d ran twice, %d were refused and ran", served, twice, refused)
	if served < 100 {
		return fmt.Errorf("only %d requests were served", served)
	}
	if twice+refused > 0 {
		return fmt.Errorf("%d requests ran twice, %d were refused and ran: %w", twice, refused, errBroken)
	}
	return nil
}
