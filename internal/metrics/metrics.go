// Package metrics renders the metrics of a process in the OpenMetrics format for
// GET /metrics. The values are read on each request, so that no value is counted in two
// places and there is no cost without requests.
package metrics

import (
	"bytes"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Metric is one metric of a process with its current value.
type Metric struct {
	Name      string // without the prefix silvergate_ and, for counters, the suffix _total
	Help      string
	Value     float64
	IsCounter bool              // whether it is a counter, which never decreases while the process runs
	Labels    map[string]string // all metrics of the same name must have the same label names
}

// Renderer reads the metrics of a component and renders them.
type Renderer struct {
	registry *prometheus.Registry
}

// New returns a Renderer that calls read each time it renders. All metrics get the label
// component.
func New(component string, read func() []Metric) *Renderer {
	r := prometheus.NewPedanticRegistry()
	r.MustRegister(collector{component, read})
	return &Renderer{r}
}

type collector struct {
	component string
	read      func() []Metric
}

// Describe sends no descriptions, because which metrics exist varies while the process runs.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the metrics with their current values.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, metric := range c.read() {
		name, kind := "silvergate_"+metric.Name, prometheus.GaugeValue
		if metric.IsCounter {
			name, kind = name+"_total", prometheus.CounterValue
		}
		m, err := prometheus.NewConstMetric(prometheus.NewDesc(name, metric.Help, nil, withComponent(metric.Labels, c.component)), kind, metric.Value)
		if err != nil {
			m = prometheus.NewInvalidMetric(prometheus.NewDesc(name, metric.Help, nil, nil), err)
		}
		out <- m
	}
}

// withComponent returns the labels together with the component's label.
func withComponent(labels map[string]string, component string) prometheus.Labels {
	out := prometheus.Labels{"component": component}
	for k, v := range labels {
		out[k] = v
	}
	return out
}

// Render returns the current metrics in the OpenMetrics format, and their content type.
func (r *Renderer) Render() (contentType string, body []byte, err error) {
	families, err := r.registry.Gather()
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
