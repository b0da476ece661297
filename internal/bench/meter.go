package bench

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Cost is the resource consumption of the processes per request.
type Cost struct {
	Allocs    float64 `json:"allocs"`
	Bytes     float64 `json:"bytes"`
	CPUMicros float64 `json:"cpuMicros"`
	GCs       float64 `json:"gcsPer1000"` // garbage collections per 1,000 requests
}

// minCalls is the minimum number of calls for which a cost is computed. The kernel
// counts processor time in steps of 10 ms per process; over 1,000 calls on two
// processes the error is at most 20 us per call.
const minCalls = 1000

// resourceUsage is what the processes have consumed since their start.
type resourceUsage struct {
	mallocs, bytes, cpuSeconds, gcs float64
}

// The metrics that a costMeter reads from a process.
const (
	metricMallocs = "go_memstats_mallocs_total"
	metricBytes   = "go_memstats_alloc_bytes_total"
	metricCPU     = "process_cpu_seconds_total"
	metricGCs     = "go_gc_duration_seconds_count"
)

// costMeter reads the metrics of the processes. On a nil costMeter all methods do
// nothing.
type costMeter struct {
	operatorURLs []string      // base URLs of the metrics
	idle         resourceUsage // per second without traffic
}

// measureIdle measures the consumption of the processes without traffic.
func (m *costMeter) measureIdle(ctx context.Context, d time.Duration) error {
	if m == nil {
		return nil
	}
	before, err := m.read(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := m.read(ctx)
	if err != nil {
		return err
	}
	m.idle = after.minus(before).scaledBy(1 / time.Since(started).Seconds())
	return nil
}

// read returns the total consumption of all processes.
func (m *costMeter) read(ctx context.Context) (resourceUsage, error) {
	var sum resourceUsage
	if m == nil {
		return sum, nil
	}
	for _, url := range m.operatorURLs {
		values, err := readMetrics(ctx, url+"/metrics")
		if err != nil {
			return resourceUsage{}, err
		}
		sum.mallocs += values[metricMallocs]
		sum.bytes += values[metricBytes]
		sum.cpuSeconds += values[metricCPU]
		sum.gcs += values[metricGCs]
	}
	return sum, nil
}

// cost returns the consumption per call, minus the idle consumption over the elapsed
// time. It returns nil for fewer than minCalls calls.
func (m *costMeter) cost(before, after resourceUsage, elapsed time.Duration, calls int) *Cost {
	if m == nil || calls < minCalls {
		return nil
	}
	perCall := after.minus(before).minus(m.idle.scaledBy(elapsed.Seconds())).scaledBy(1 / float64(calls))
	return &Cost{Allocs: perCall.mallocs, Bytes: perCall.bytes, CPUMicros: perCall.cpuSeconds * 1e6, GCs: perCall.gcs * 1000}
}

func (u resourceUsage) minus(o resourceUsage) resourceUsage {
	return resourceUsage{u.mallocs - o.mallocs, u.bytes - o.bytes, u.cpuSeconds - o.cpuSeconds, u.gcs - o.gcs}
}

func (u resourceUsage) scaledBy(f float64) resourceUsage {
	return resourceUsage{u.mallocs * f, u.bytes * f, u.cpuSeconds * f, u.gcs * f}
}

// readMetrics reads the metrics that a costMeter needs.
func readMetrics(ctx context.Context, url string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read metrics")
	}
	defer resp.Body.Close()
	values := make(map[string]float64)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		switch name {
		case metricMallocs, metricBytes, metricCPU, metricGCs:
			if values[name], err = strconv.ParseFloat(value, 64); err != nil {
				return nil, eris.Wrapf(err, "metric %s", name)
			}
		}
	}
	if len(values) != 4 {
		return nil, eris.Errorf("%s does not export all process and Go runtime metrics that the cost needs", url)
	}
	return values, lines.Err()
}
