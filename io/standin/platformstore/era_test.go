package platformstore

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

const systemTopic = "keyed.system"

func send(t *testing.T, s *Store, method, target string) *http.Response {
	t.Helper()
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, httptest.NewRequest(method, target, http.NoBody))
	return recorder.Result()
}

func wantResponse(t *testing.T, got *http.Response, status int, era string) {
	t.Helper()
	if got.StatusCode != status || got.Header.Get(eraHeader) != era {
		t.Errorf("response: got status %d, era %q, want %d, %q", got.StatusCode, got.Header.Get(eraHeader), status, era)
	}
}

func wantNewest(t *testing.T, s *Store, name, key, want string) {
	t.Helper()
	if got := string(s.Newest(name, key)); got != want {
		t.Errorf("newest value of %s in %s: got %q, want %q", key, name, got, want)
	}
}

// TestReturn guards against a drill that loses nothing, or that loses what the operator
// and the targets wrote.
func TestReturn(t *testing.T) {
	s := New()
	wantResponse(t, send(t, s, "GET", "/v1/log-read?topic=keyed.system&from=0"), http.StatusOK, "")
	s.SetEra(7)
	s.Put(configTopic, configKey, []byte("v1"))
	s.PutTarget("left", []byte("e1"))
	s.PutTarget("stays", []byte("e1"))
	s.Put(systemTopic, "k", []byte("before"))
	s.Copy()
	s.Put(systemTopic, "k", []byte("after"))
	s.Put(configTopic, configKey, []byte("v2"))
	s.PutTarget("left", nil)
	s.PutTarget("new", []byte("e1"))
	wantResponse(t, send(t, s, "GET", "/v1/log-read?topic=keyed.system&from=2"), http.StatusOK, "7")
	away := make(chan bool)
	go func() { away <- s.Return(Return{Away: 200 * time.Millisecond}) }()
	for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		got := send(t, s, "GET", "/v1/log-read?topic=keyed.system&from=0")
		if got.StatusCode == http.StatusServiceUnavailable {
			wantResponse(t, got, http.StatusServiceUnavailable, "7")
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("store: got no status 503 within 1 s, want it away")
		}
	}
	if !<-away {
		t.Fatal("return: got none, want one from the copy")
	}
	wantResponse(t, send(t, s, "GET", "/v1/log-read?topic=keyed.system&from=2"), http.StatusGone, "8")
	wantResponse(t, send(t, s, "GET", "/v1/log-read?topic=keyed.system&from=1"), http.StatusOK, "8")
	wantNewest(t, s, systemTopic, "k", "before")
	wantNewest(t, s, configTopic, configKey, "v2")
	wantNewest(t, s, targetsTopic, "left", "")
	wantNewest(t, s, targetsTopic, "stays", "e1")
	wantNewest(t, s, targetsTopic, "new", "e1")
	wantResponse(t, send(t, s, "POST", "/v1/log-append?topic=keyed.system&at=2"), http.StatusPreconditionFailed, "8")
	if got, want := s.topic(configTopic).end(), int64(2); got != want {
		t.Errorf("end of the operator's topic: got %d, want %d", got, want)
	}
}

// TestCopyOfAge guards against a return from another copy than the one asked for.
func TestCopyOfAge(t *testing.T) {
	now := time.Now()
	s := New()
	if s.Return(Return{}) {
		t.Error("return without a copy: got one, want none")
	}
	for _, age := range []time.Duration{9, 6, 3} {
		s.copies = append(s.copies, storeCopy{at: now.Add(-age * time.Second)})
	}
	for age, want := range map[time.Duration]time.Duration{0: 3, 3: 3, 4: 6, 9: 9, 10: 9} {
		c, _ := s.copyOfAge(age * time.Second)
		if got := now.Sub(c.at); got != want*time.Second {
			t.Errorf("copy at least %d s old: got one of %v, want %d s", age, got, want)
		}
	}
}
