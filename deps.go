//go:build deps

package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/coder/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-kit/kit/endpoint"
	_ "github.com/go-kit/kit/metrics/prometheus"
	_ "github.com/go-kit/kit/transport/http"
	_ "github.com/goccy/go-yaml"
	_ "github.com/goccy/go-yaml/ast"
	_ "github.com/goccy/go-yaml/parser"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sony/gobreaker/v2"
	_ "github.com/urfave/cli/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
