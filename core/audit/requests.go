package audit

import (
	"fmt"
	"time"

	"pineturn/core/outcome"
)

// requestID names a request. Callers of two services may choose the same id.
type requestID struct{ service, id string }

func (e *execution) requestID() requestID { return requestID{e.owner.service, e.request.ID} }

func (r Record) requestID() requestID { return requestID{r.Service, r.ID} }

// runsByID groups the runs by request.
func runsByID(runs []*execution) map[requestID][]*execution {
	groups := map[requestID][]*execution{}
	for _, run := range runs {
		groups[run.requestID()] = append(groups[run.requestID()], run)
	}
	return groups
}

// runTwice finds requests recorded as once that ran more than once.
func runTwice(runs []*execution, records []Record) []Finding {
	once := map[requestID]bool{}
	for _, record := range records {
		once[record.requestID()] = once[record.requestID()] || record.Once
	}
	var findings []Finding
	for id, group := range runsByID(runs) {
		if !once[id] || len(group) < 2 {
			continue
		}
		first, last := group[0], group[len(group)-1]
		findings = append(findings, Finding{
			Problem: RunTwice, Service: first.owner.service, Key: first.request.Key, Request: id.id,
			Targets: []string{first.owner.name(), last.owner.name()}, FromNs: first.from, ToNs: last.to,
			Detail: fmt.Sprintf("ran %d times", len(group)),
		})
	}
	return findings
}

// toldNotRun finds requests that ran although their caller was told that they
// had not. A run is accounted for by an attempt of the same request that was
// sent before the run began and was not said not to have run.
func toldNotRun(runs []*execution, records []Record) []Finding {
	attempts := map[requestID][]Record{}
	for _, record := range records {
		attempts[record.requestID()] = append(attempts[record.requestID()], record)
	}
	var findings []Finding
	for _, run := range runs {
		made := attempts[run.requestID()]
		if len(made) == 0 || accounted(run, made) {
			continue
		}
		findings = append(findings, Finding{
			Problem: NotRunButRan, Service: run.owner.service, Key: run.request.Key, Request: run.request.ID,
			Targets: []string{run.owner.name()}, FromNs: run.from, ToNs: run.to,
			Detail: "its caller was told " + made[len(made)-1].Outcome + " " + made[len(made)-1].Reason,
		})
	}
	return findings
}

func accounted(run *execution, attempts []Record) bool {
	for _, attempt := range attempts {
		if attempt.Outcome != outcomeNotRun && attempt.SentNs <= run.from {
			return true
		}
	}
	return false
}

// unrecorded counts the runs of requests that no caller recorded.
func unrecorded(runs []*execution, records []Record) int {
	known := map[requestID]bool{}
	for _, record := range records {
		known[record.requestID()] = true
	}
	count := 0
	for _, run := range runs {
		if !known[run.requestID()] {
			count++
		}
	}
	return count
}

// answers finds answers reported as done that are not the request's own and
// whole answer.
func answers(found *digested, records []Record) []Finding {
	ran := runsByID(found.runs)
	var findings []Finding
	for _, record := range records {
		if record.Outcome != outcomeDone {
			continue
		}
		problem, detail := record.fault()
		if problem == "" && found.services[record.Service] && len(ran[record.requestID()]) == 0 {
			problem, detail = DoneWithoutRun, "no target ran it"
		}
		if problem == "" {
			continue
		}
		findings = append(findings, Finding{
			Problem: problem, Service: record.Service, Key: record.Key, Request: record.ID,
			FromNs: record.SentNs, ToNs: record.EndNs, Detail: detail,
		})
	}
	return findings
}

// fault returns what is wrong with the answer of a record reported as done.
func (r Record) fault() (Problem, string) {
	switch {
	case r.BodyID != "" && r.BodyID != r.ID:
		return ResponseMismatch, "the answer is that of request " + r.BodyID
	case r.BodyKey != "" && r.BodyKey != r.Key:
		return ResponseMismatch, "the answer is that of key " + r.BodyKey
	case r.WantBytes > 0 && r.Bytes < r.WantBytes:
		return ResponseTruncated, fmt.Sprintf("%d of %d bytes", r.Bytes, r.WantBytes)
	case !r.BodyOK || r.BodyID == "" || r.WantBytes > 0 && r.Bytes != r.WantBytes:
		return ResponseInvalid, "the body is not the target's"
	}
	return "", ""
}

// afterDrain finds requests that reached a target later than bound after its
// drain began, whether the target ran or refused them.
func afterDrain(found *digested, bound time.Duration) []Finding {
	arrivals := make([]arrival, 0, len(found.runs))
	for _, run := range found.runs {
		arrivals = append(arrivals, arrival{owner: run.owner, request: run.request, at: run.from})
	}
	for _, refusal := range found.refusals {
		if refusal.request.Reason == string(outcome.Draining) {
			arrivals = append(arrivals, refusal)
		}
	}
	var findings []Finding
	for _, leaving := range found.drains {
		for _, arrived := range arrivals {
			late := time.Duration(arrived.at - leaving.from)
			if arrived.owner != leaving.owner || late <= bound || arrived.at >= leaving.to {
				continue
			}
			findings = append(findings, Finding{
				Problem: AfterDrain, Service: arrived.owner.service, Key: arrived.request.Key,
				Shard: arrived.request.Shard, Request: arrived.request.ID,
				Targets: []string{arrived.owner.name()}, FromNs: arrived.at,
				Detail: fmt.Sprintf("%s after the drain began", late),
			})
		}
	}
	return findings
}
