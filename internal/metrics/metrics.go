// Package metrics renders a process's figures as OpenMetrics for GET /metrics.
// Figures are read when they are asked for: nothing is counted twice, and what
// nobody asks for costs nothing.
package metrics

import (
	"bytes"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Path is where the figures are read.
const Path = "/metrics"

// Figure is one figure of a process.
type Figure struct {
	Name   string // without the prefix; counters get _total
	Help   string
	Value  float64
	Count  bool              // never goes back within a life
	Labels map[string]string // the same names for all figures of one name
}

// Page reads figures and renders them. Component is a label of all.
type Page struct {
	registry *prometheus.Registry
}

// New makes a page of what read returns at each call.
func New(component string, read func() []Figure) *Page {
	r := prometheus.NewPedanticRegistry()
	r.MustRegister(collector{component, read})
	return &Page{r}
}

type collector struct {
	component string
	read      func() []Figure
}

// Describe sends nothing: which figures there are depends on what happened.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the figures as they are now.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, f := range c.read() {
		name, kind := "silvergate_"+f.Name, prometheus.GaugeValue
		if f.Count {
			name, kind = name+"_total", prometheus.CounterValue
		}
		m, err := prometheus.NewConstMetric(prometheus.NewDesc(name, f.Help, nil, withComponent(f.Labels, c.component)), kind, f.Value)
		if err != nil {
			m = prometheus.NewInvalidMetric(prometheus.NewDesc(name, f.Help, nil, nil), err)
		}
		out <- m
	}
}

func withComponent(labels map[string]string, component string) prometheus.Labels {
	out := prometheus.Labels{"component": component}
	for k, v := range labels {
		out[k] = v
	}
	return out
}

// Render gives the page and its content type.
func (p *Page) Render() (contentType string, body []byte, err error) {
	families, err := p.registry.Gather()
	if err != nil {
		return "", nil, fmt.Errorf("metrics: %w", err)
	}
	var b bytes.Buffer
	format := expfmt.NewFormat(expfmt.TypeOpenMetrics)
	enc := expfmt.NewEncoder(&b, format)
	for _, f := range families {
		if err := enc.Encode(f); err != nil {
			return "", nil, fmt.Errorf("metrics: %w", err)
		}
	}
	if c, ok := enc.(expfmt.Closer); ok {
		if err := c.Close(); err != nil {
			return "", nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return string(format), b.Bytes(), nil
}
