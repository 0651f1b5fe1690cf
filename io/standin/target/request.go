package target

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"pineturn/core/outcome"
	"pineturn/core/shard"
)

// The headers of a request to a target.
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

// request is a caller's request as its headers tell it.
type request struct {
	id           string
	key          string
	shard        shard.ID
	epoch        uint64
	term         uint64
	incarnation  string
	deadline     time.Duration // by the target's clock; 0 is none
	endWithGrant bool
	work         work
}

// work is what the application is asked to do.
type work struct {
	service    time.Duration
	size       int
	chunkPause time.Duration
	length     bool
	status     int
}

// refused is an answer that says the request was not run.
type refused struct {
	status     int
	reason     outcome.Reason
	retryAfter time.Duration
}

// The reasons that only targets give.
const (
	reasonWrongIncarnation outcome.Reason = wrongIncarnation
	reasonStaleTerm        outcome.Reason = staleTerm
	reasonNotOwner         outcome.Reason = "not-owner"
)

// parseRequest reads the headers and the application's parameters.
func (t *Target) parseRequest(r *http.Request) (request, error) {
	asked := request{
		id:           r.Header.Get(headerRequestID),
		key:          r.Header.Get(headerKey),
		incarnation:  r.Header.Get(headerIncarnation),
		endWithGrant: r.Header.Get(headerEndWithGrant) == "1",
	}
	var err error
	if text := r.Header.Get(headerShard); text != "" {
		if asked.shard, err = shard.Parse(text); err != nil {
			return asked, err
		}
	}
	if asked.epoch, err = parseNumber(r.Header.Get(headerEpoch)); err != nil {
		return asked, err
	}
	if asked.term, err = parseNumber(r.Header.Get(headerTerm)); err != nil {
		return asked, err
	}
	deadline, err := parseNumber(r.Header.Get(headerDeadline))
	if err != nil {
		return asked, err
	}
	asked.deadline = microseconds(int64(deadline))
	asked.work, err = t.parseWork(r.URL.Path, r.URL.Query())
	return asked, err
}

// parseWork reads ms, size, chunk_ms, length and status.
func (t *Target) parseWork(path string, values url.Values) (work, error) {
	asked := work{service: t.serviceTime, status: http.StatusOK, length: values.Get("length") == "1"}
	if path == "/report" {
		asked.size = t.reportBytes
	}
	if values.Has("size") {
		size, err := strconv.Atoi(values.Get("size"))
		if err != nil {
			return asked, err
		}
		asked.size = size
	}
	if values.Has("status") {
		status, err := strconv.Atoi(values.Get("status"))
		if err != nil {
			return asked, err
		}
		asked.status = status
	}
	var err error
	if asked.service, err = parseMs(values, "ms", t.serviceTime); err != nil {
		return asked, err
	}
	asked.chunkPause, err = parseMs(values, "chunk_ms", 0)
	return asked, err
}

func parseMs(values url.Values, name string, otherwise time.Duration) (time.Duration, error) {
	if !values.Has(name) {
		return otherwise, nil
	}
	ms, err := strconv.ParseFloat(values.Get(name), 64)
	return time.Duration(ms * float64(time.Millisecond)), err
}

func parseNumber(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

// refuse answers that a request was not run.
func (t *Target) refuse(w http.ResponseWriter, asked request, why refused) {
	header := w.Header()
	header.Set(headerRequestID, asked.id)
	header.Set(headerOutcome, outcome.NotRun.String())
	header.Set(headerReason, string(why.reason))
	if why.retryAfter > 0 {
		ms := strconv.FormatInt(why.retryAfter.Milliseconds()+1, 10)
		header.Set(headerRetryMs, ms)
	}
	http.Error(w, string(why.reason), why.status)
}
