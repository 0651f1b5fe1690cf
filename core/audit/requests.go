package audit

import (
	"fmt"
	"time"

	"pineturn/core/outcome"
)

// requestID identifies a request. Callers of different services may use the same
// id.
type requestID struct{ service, id string }

func (e *requestRun) requestID() requestID { return requestID{e.owner.service, e.request.ID} }

func (r Record) requestID() requestID { return requestID{r.Service, r.ID} }

// runsByID groups the runs by request.
func runsByID(runs []*requestRun) map[requestID][]*requestRun {
	groups := map[requestID][]*requestRun{}
	for _, run := range runs {
		groups[run.requestID()] = append(groups[run.requestID()], run)
	}
	return groups
}

// runTwice returns the requests that must not be repeated and ran more than
// once.
func runTwice(runs []*requestRun, records []Record) []Finding {
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

// notRunButRan returns the requests that ran although their caller received the
// outcome not-run. A run is accounted for by an attempt of the same request that
// was sent before the run began and has another outcome than not-run.
func notRunButRan(runs []*requestRun, records []Record) []Finding {
	attempts := map[requestID][]Record{}
	for _, record := range records {
		attempts[record.requestID()] = append(attempts[record.requestID()], record)
	}
	var findings []Finding
	for _, run := range runs {
		sent := attempts[run.requestID()]
		if len(sent) == 0 || accountedFor(run, sent) {
			continue
		}
		findings = append(findings, Finding{
			Problem: NotRunButRan, Service: run.owner.service, Key: run.request.Key, Request: run.request.ID,
			Targets: []string{run.owner.name()}, FromNs: run.from, ToNs: run.to,
			Detail: "the caller received the outcome " + sent[len(sent)-1].Outcome + " " + sent[len(sent)-1].Reason,
		})
	}
	return findings
}

func accountedFor(run *requestRun, attempts []Record) bool {
	for _, attempt := range attempts {
		if attempt.Outcome != outcomeNotRun && attempt.SentNs <= run.from {
			return true
		}
	}
	return false
}

// unrecorded returns the number of runs of requests that no caller recorded.
func unrecorded(runs []*requestRun, records []Record) int {
	recorded := map[requestID]bool{}
	for _, record := range records {
		recorded[record.requestID()] = true
	}
	count := 0
	for _, run := range runs {
		if !recorded[run.requestID()] {
			count++
		}
	}
	return count
}

// responses returns the requests with the outcome done that no target ran, or
// whose response is not the complete and correct response to the request.
func responses(observed *history, records []Record) []Finding {
	ran := runsByID(observed.runs)
	var findings []Finding
	for _, record := range records {
		if record.Outcome != outcomeDone {
			continue
		}
		problem, detail := record.responseProblem()
		if problem == "" && observed.services[record.Service] && len(ran[record.requestID()]) == 0 {
			problem, detail = DoneWithoutRun, "no target ran the request"
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

// responseProblem returns the problem with the response of a record whose outcome
// is done and its description. Both are empty if the response is correct.
func (r Record) responseProblem() (Problem, string) {
	switch {
	case r.BodyID != "" && r.BodyID != r.ID:
		return ResponseMismatch, "the response is that of request " + r.BodyID
	case r.BodyKey != "" && r.BodyKey != r.Key:
		return ResponseMismatch, "the response is that of key " + r.BodyKey
	case r.WantBytes > 0 && r.Bytes < r.WantBytes:
		return ResponseTruncated, fmt.Sprintf("response has %d of %d bytes", r.Bytes, r.WantBytes)
	case !r.BodyOK || r.BodyID == "" || r.WantBytes > 0 && r.Bytes != r.WantBytes:
		return ResponseInvalid, "the response body is not the one expected from the target"
	}
	return "", ""
}

// afterDrain returns the requests that reached a target later than bound after
// its drain began, whether the target ran or refused them.
func afterDrain(observed *history, bound time.Duration) []Finding {
	arrivals := make([]arrival, 0, len(observed.runs))
	for _, run := range observed.runs {
		arrivals = append(arrivals, arrival{owner: run.owner, request: run.request, at: run.from})
	}
	for _, refusal := range observed.refusals {
		if refusal.request.Reason == string(outcome.Draining) {
			arrivals = append(arrivals, refusal)
		}
	}
	var findings []Finding
	for _, period := range observed.drains {
		for _, arrived := range arrivals {
			late := time.Duration(arrived.at - period.from)
			if arrived.owner != period.owner || late <= bound || arrived.at >= period.to {
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
