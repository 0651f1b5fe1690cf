// Package losses sums up from the logs of hosts why requests were not served. A request that one host
// has relayed to another counts once, with the cause that the other one states.
package losses

import (
	"cmp"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	// requestMessage begins a line on a request that has ended, droppedMessage one that states how
	// many lines were not written until then.
	requestMessage = `"Request ended"`
	droppedMessage = `"Log lines were dropped"`
	// firstFailure is the lowest status of a request that counts as not served.
	firstFailure = 400
)

// field is a key and its value in a line of a log.
var field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// Row is the number of requests of a kind that ended in one way.
type Row struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	Status  int    `json:"status"`
	// Reason is the reason that the last host states.
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// request is what two hosts at most say of a request that was not served.
type request struct {
	row Row
	// callers is set if a host has logged it as a caller's, reason is that of the host that it was
	// relayed to; empty for none.
	callers bool
	reason  string
}

// Summary is the requests of some logs. Lines may come in any order.
type Summary struct {
	requests map[string]*request
	// dropped holds the lines on failures that were not written, by the log's name.
	dropped map[string]int
}

// New returns a summary of no lines.
func New() *Summary {
	return &Summary{requests: make(map[string]*request), dropped: make(map[string]int)}
}

// AddLine adds a line of a host's log, if it is about a request that was not served.
func (s *Summary) AddLine(log, line string) {
	switch {
	case strings.Contains(line, requestMessage):
		s.addRequest(fields(line))
	case strings.Contains(line, droppedMessage):
		// Each such line has the total since the host's start.
		n, _ := strconv.Atoi(fields(line)["failures"])
		s.dropped[log] = max(s.dropped[log], n)
	}
}

func fields(line string) map[string]string {
	values := make(map[string]string)
	for _, m := range field.FindAllStringSubmatch(line, -1) {
		value := m[2]
		if text, err := strconv.Unquote(value); err == nil {
			value = text
		}
		values[m[1]] = value
	}
	return values
}

func (s *Summary) addRequest(f map[string]string) {
	status, err := strconv.Atoi(f["status"])
	if err != nil || f["id"] == "" || status < firstFailure {
		return
	}
	r := s.requests[f["id"]]
	if r == nil {
		r = &request{}
		s.requests[f["id"]] = r
	}
	if f["relayed"] == "true" {
		r.reason = f["reason"]
		return
	}
	r.callers = true
	r.row = Row{Service: f["service"], Route: f["route"], Status: status, Reason: f["reason"]}
}

// Rows returns the requests of callers that were not served, the largest numbers first.
func (s *Summary) Rows() []Row {
	counts := make(map[Row]int)
	for _, r := range s.requests {
		if !r.callers {
			continue
		}
		row := r.row
		row.Reason = cmp.Or(r.reason, row.Reason)
		counts[row]++
	}
	rows := make([]Row, 0, len(counts))
	for row, n := range counts {
		row.Count = n
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Reason, b.Reason))
	})
	return rows
}

// Dropped returns the number of lines on failures that hosts have not written.
func (s *Summary) Dropped() int {
	sum := 0
	for n := range maps.Values(s.dropped) {
		sum += n
	}
	return sum
}
