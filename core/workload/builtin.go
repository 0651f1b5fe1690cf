package workload

import (
	"net/http"
	"time"
)

const (
	kib = int64(1 << 10)
	mib = int64(1 << 20)
)

// caroni returns the workload of a rent guarantee provider: cover checks,
// arrears histories with large statements for landlords, and claim payouts. The
// tenants of one branch at a time are hot, as happens at the end of a month.
func caroni() *Workload {
	branches := keySpace{areas: 24, perArea: 400, areaPrefix: "branch", itemPrefix: "tenant", hotItems: 60}
	return &Workload{
		name: "caroni", slots: 2, delay: 8 * time.Millisecond, hotShare: 0.3,
		services: []*Service{
			{name: "coverdesk", share: 0.55, targets: 10, keys: branches, operations: []*Operation{
				{name: "cover", method: http.MethodGet, path: "/cover", share: 1, serviceTime: 8 * time.Millisecond},
			}},
			{name: "recordsvault", share: 0.25, targets: 15, keys: branches, operations: []*Operation{
				{name: "arrears", method: http.MethodGet, path: "/arrears", share: 0.8, serviceTime: 10 * time.Millisecond},
				{name: "statement", method: http.MethodGet, path: "/statement", share: 0.19, serviceTime: 25 * time.Millisecond, size: 256 * kib},
				{name: "portfolio", method: http.MethodGet, path: "/portfolio", share: 0.01, serviceTime: 60 * time.Millisecond, size: 4 * mib},
			}},
			{name: "payoutledger", share: 0.2, targets: 10, keys: branches, operations: []*Operation{
				{name: "balance", method: http.MethodGet, path: "/balance", share: 0.4, serviceTime: 6 * time.Millisecond},
				{name: "payout", method: http.MethodPost, path: "/payouts", once: true, share: 0.6, serviceTime: 15 * time.Millisecond},
			}},
		},
	}
}

// tomor returns the workload of an operator of weighbridges: truck weights,
// payouts to sellers, and tickets with monthly tonnage reports. The trucks of one
// yard at a time are hot, as happens at dawn.
func tomor() *Workload {
	yards := keySpace{areas: 16, perArea: 250, areaPrefix: "yard", itemPrefix: "truck", hotItems: 30}
	sellers := keySpace{areas: 16, perArea: 120, areaPrefix: "yard", itemPrefix: "seller", hotItems: 30}
	return &Workload{
		name: "tomor", slots: 4, delay: time.Millisecond, hotShare: 0.4,
		services: []*Service{
			{name: "scale-read", share: 0.6, targets: 10, keys: yards, operations: []*Operation{
				{name: "weight", method: http.MethodGet, path: "/weight", share: 1, serviceTime: 5 * time.Millisecond},
			}},
			{name: "payout-ledger", share: 0.2, targets: 10, keys: sellers, operations: []*Operation{
				{name: "balance", method: http.MethodGet, path: "/balance", share: 0.3, serviceTime: 5 * time.Millisecond},
				{name: "payout", method: http.MethodPost, path: "/payouts", once: true, share: 0.7, serviceTime: 12 * time.Millisecond},
			}},
			{name: "records-desk", share: 0.2, targets: 20, keys: yards, operations: []*Operation{
				{name: "ticket", method: http.MethodGet, path: "/ticket", share: 0.9, serviceTime: 8 * time.Millisecond, size: 4 * kib},
				{name: "tonnage", method: http.MethodGet, path: "/tonnage", share: 0.1, serviceTime: 40 * time.Millisecond, size: mib},
			}},
		},
	}
}
