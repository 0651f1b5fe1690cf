package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func get(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: get URL")
	}
	request(ts, neg, http.MethodGet, args[0], "")
}

func post(ts *testscript.TestScript, neg bool, args []string) {
	requestWithBody(ts, neg, http.MethodPost, args)
}

func put(ts *testscript.TestScript, neg bool, args []string) {
	requestWithBody(ts, neg, http.MethodPut, args)
}

func requestWithBody(ts *testscript.TestScript, neg bool, method string, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: post|put URL BODY")
	}
	body := args[1]
	if file, ok := strings.CutPrefix(body, "@"); ok {
		body = ts.ReadFile(file)
	}
	request(ts, neg, method, args[0], body)
}

// request sends a request, prints the response body and asserts success, or
// failure if neg is set.
func request(ts *testscript.TestScript, neg bool, method, url, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, response, err := send(ctx, method, url, body)
	_, _ = io.WriteString(ts.Stdout(), response)
	succeeded := err == nil && status/100 == 2
	if succeeded == neg {
		ts.Fatalf("got status %d, error %v, want a 2xx response, or with ! anything else: %s", status, err, response)
	}
}

// send sends one request on a new connection and returns the status and the
// response body.
func send(ctx context.Context, method, url, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", fmt.Errorf("build request: %w", err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// until repeats a command until it succeeds and its output matches a pattern.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 || args[1] != "get" && args[1] != "exec" {
		ts.Fatalf("usage: until PATTERN get URL, or until PATTERN exec PROGRAM ARG...")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	var output string
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * pollInterval) {
		output, err = attempt(ts, args[1:])
		if err == nil && pattern.MatchString(output) {
			return
		}
	}
	ts.Fatalf("got %v and no match of %q in the output of %v:\n%s", err, args[0], args[1:], output)
}

func attempt(ts *testscript.TestScript, args []string) (string, error) {
	if args[0] == "exec" {
		err := ts.Exec(args[1], args[2:]...)
		return ts.ReadFile("stdout"), err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, response, err := send(ctx, http.MethodGet, args[1], "")
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return response, err
}
