// Package prom writes a go-metrics registry in the Prometheus text format.
package prom

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles lists what is written of a histogram or timer.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// nanosPerSecond converts timers, which hold nanoseconds, to seconds.
const nanosPerSecond = 1e9

// Write writes every metric of the registry. Names take underscores for other
// characters; timers are in seconds.
func Write(w io.Writer, registry metrics.Registry) error {
	all := map[string]any{}
	var names []string
	registry.Each(func(name string, metric any) {
		all[name] = metric
		names = append(names, name)
	})
	slices.Sort(names)
	for _, name := range names {
		if err := write(w, clean(name), all[name]); err != nil {
			return err
		}
	}
	return nil
}

func write(w io.Writer, name string, metric any) error {
	switch m := metric.(type) {
	case metrics.Counter:
		return single(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		return single(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		return single(w, name, "gauge", m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		return summary(w, name+"_seconds", s.Percentiles(quantiles), float64(s.Sum()), s.Count(), nanosPerSecond)
	default:
		return nil
	}
}

func single(w io.Writer, name, kind string, value float64) error {
	_, err := fmt.Fprintf(w, "# TYPE %s %s\n%s %v\n", name, kind, name, value)
	return err
}

func summary(w io.Writer, name string, values []float64, sum float64, count int64, unit float64) error {
	if _, err := fmt.Fprintf(w, "# TYPE %s summary\n", name); err != nil {
		return err
	}
	for i, q := range quantiles {
		if _, err := fmt.Fprintf(w, "%s{quantile=\"%v\"} %v\n", name, q, values[i]/unit); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_sum %v\n%s_count %d\n", name, sum/unit, name, count)
	return err
}

func clean(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}
