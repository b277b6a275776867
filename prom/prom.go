// Package prom writes a go-metrics registry in the Prometheus text format. The
// admin endpoint of a node uses it at each scrape.
package prom

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles written for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// nanosPerSecond converts the values of timers, which are in nanoseconds, to
// seconds.
const nanosPerSecond = 1e9

// Write writes all metrics of the registry, sorted by name. Characters other
// than a-z and 0-9 become underscores in names. Timers are written in seconds
// and get the suffix _seconds. Metrics of other types than counter, gauge,
// histogram and timer are omitted.
func Write(w io.Writer, registry metrics.Registry) error {
	all := map[string]any{}
	var names []string
	registry.Each(func(name string, metric any) {
		all[name] = metric
		names = append(names, name)
	})
	slices.Sort(names)
	for _, name := range names {
		if err := writeMetric(w, metricName(name), all[name]); err != nil {
			return err
		}
	}
	return nil
}

func writeMetric(w io.Writer, name string, metric any) error {
	switch m := metric.(type) {
	case metrics.Counter:
		return writeSample(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		return writeSample(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		return writeSample(w, name, "gauge", m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		return writeSummary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		return writeSummary(w, name+"_seconds", s.Percentiles(quantiles), float64(s.Sum()), s.Count(), nanosPerSecond)
	default:
		return nil
	}
}

func writeSample(w io.Writer, name, kind string, value float64) error {
	_, err := fmt.Fprintf(w, "# TYPE %s %s\n%s %v\n", name, kind, name, value)
	return err
}

func writeSummary(w io.Writer, name string, values []float64, sum float64, count int64, divisor float64) error {
	if _, err := fmt.Fprintf(w, "# TYPE %s summary\n", name); err != nil {
		return err
	}
	for i, q := range quantiles {
		if _, err := fmt.Fprintf(w, "%s{quantile=\"%v\"} %v\n", name, q, values[i]/divisor); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_sum %v\n%s_count %d\n", name, sum/divisor, name, count)
	return err
}

func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}
