package target

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"pineturn/core/outcome"
	"pineturn/core/shard"
)

// The headers of a request to a target and of its response.
const (
	headerRequestID    = "Pineturn-Request-Id"
	headerKey          = "Pineturn-Key"
	headerShard        = "Pineturn-Shard"
	headerEpoch        = "Pineturn-Epoch"
	headerTerm         = "Pineturn-Term"
	headerIncarnation  = "Pineturn-Incarnation"
	headerDeadline     = "Pineturn-Deadline"
	headerEndWithGrant = "Pineturn-End-With-Grant"
	headerOutcome      = "Pineturn-Outcome"
	headerReason       = "Pineturn-Reason"
	headerRetryMs      = "Retry-After-Ms"
)

// request is the content of a request's headers and query.
type request struct {
	id           string
	key          string
	shard        shard.ID
	epoch        uint64
	term         uint64
	incarnation  string
	deadline     time.Duration // by the target's clock, 0 for none
	endWithGrant bool
	work         work
}

// work is the application's part of a request. The application runs for
// serviceTime and responds with status and size bytes of body, in chunks that are
// chunkInterval apart. With length, the response states its Content-Length.
type work struct {
	serviceTime   time.Duration
	size          int
	chunkInterval time.Duration
	length        bool
	status        int
}

// requestRefusal is the response to a request that was not run. A positive
// retryAfter is sent as Retry-After-Ms.
type requestRefusal struct {
	status     int
	reason     outcome.Reason
	retryAfter time.Duration
}

// The reasons for a refusal that only targets state.
const (
	reasonWrongIncarnation outcome.Reason = wrongIncarnation
	reasonStaleTerm        outcome.Reason = staleTerm
	reasonNotOwner         outcome.Reason = "not-owner"
)

// parseRequest parses the headers of a request and the parameters of the
// application.
func (t *Target) parseRequest(r *http.Request) (request, error) {
	req := request{
		id:           r.Header.Get(headerRequestID),
		key:          r.Header.Get(headerKey),
		incarnation:  r.Header.Get(headerIncarnation),
		endWithGrant: r.Header.Get(headerEndWithGrant) == "1",
	}
	var err error
	if text := r.Header.Get(headerShard); text != "" {
		if req.shard, err = shard.Parse(text); err != nil {
			return req, err
		}
	}
	if req.epoch, err = parseNumber(r.Header.Get(headerEpoch)); err != nil {
		return req, err
	}
	if req.term, err = parseNumber(r.Header.Get(headerTerm)); err != nil {
		return req, err
	}
	deadline, err := parseNumber(r.Header.Get(headerDeadline))
	if err != nil {
		return req, err
	}
	req.deadline = microseconds(int64(deadline))
	req.work, err = t.parseWork(r.URL.Path, r.URL.Query())
	return req, err
}

// parseWork parses the parameters ms, size, chunk_ms, length and status.
func (t *Target) parseWork(path string, values url.Values) (work, error) {
	parsed := work{serviceTime: t.serviceTime, status: http.StatusOK, length: values.Get("length") == "1"}
	if path == "/report" {
		parsed.size = t.reportBytes
	}
	if values.Has("size") {
		size, err := strconv.Atoi(values.Get("size"))
		if err != nil {
			return parsed, err
		}
		parsed.size = size
	}
	if values.Has("status") {
		status, err := strconv.Atoi(values.Get("status"))
		if err != nil {
			return parsed, err
		}
		parsed.status = status
	}
	var err error
	if parsed.serviceTime, err = parseMs(values, "ms", t.serviceTime); err != nil {
		return parsed, err
	}
	parsed.chunkInterval, err = parseMs(values, "chunk_ms", 0)
	return parsed, err
}

// parseMs parses a parameter in milliseconds, which may have a fraction.
func parseMs(values url.Values, name string, defaultValue time.Duration) (time.Duration, error) {
	if !values.Has(name) {
		return defaultValue, nil
	}
	ms, err := strconv.ParseFloat(values.Get(name), 64)
	return time.Duration(ms * float64(time.Millisecond)), err
}

// parseNumber parses a number of a header; an absent one is 0.
func parseNumber(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

// refuse responds that a request was not run.
func (t *Target) refuse(w http.ResponseWriter, req request, refusal requestRefusal) {
	header := w.Header()
	header.Set(headerRequestID, req.id)
	header.Set(headerOutcome, outcome.NotRun.String())
	header.Set(headerReason, string(refusal.reason))
	if refusal.retryAfter > 0 {
		ms := strconv.FormatInt(refusal.retryAfter.Milliseconds()+1, 10)
		header.Set(headerRetryMs, ms)
	}
	http.Error(w, string(refusal.reason), refusal.status)
}
