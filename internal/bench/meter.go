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

// Cost is what one request costs the processes.
type Cost struct {
	Allocs    float64 `json:"allocs"`
	Bytes     float64 `json:"bytes"`
	CPUMicros float64 `json:"cpuMicros"`
	GCs       float64 `json:"gcsPer1000"` // garbage collections per 1,000 requests
}

// minCalls is the least number of calls from which a cost is computed. The
// kernel counts processor time in steps of 10 ms for each process; over 1,000
// calls that is an error of 20 us at most.
const minCalls = 1000

// usage is what the processes have used since their start.
type usage struct {
	mallocs, bytes, cpuSeconds, gcs float64
}

// The metrics of a process that a meter reads.
const (
	metricMallocs = "go_memstats_mallocs_total"
	metricBytes   = "go_memstats_alloc_bytes_total"
	metricCPU     = "process_cpu_seconds_total"
	metricGCs     = "go_gc_duration_seconds_count"
)

// meter reads the metrics of the processes. All methods of a nil meter do
// nothing.
type meter struct {
	operators []string // base URLs
	idle      usage    // in one second without traffic
}

// measureIdle learns what the processes use without traffic.
func (m *meter) measureIdle(ctx context.Context, d time.Duration) error {
	if m == nil {
		return nil
	}
	before, err := m.read(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := m.read(ctx)
	if err != nil {
		return err
	}
	m.idle = after.minus(before).times(1 / time.Since(began).Seconds())
	return nil
}

// read returns the sum over the processes.
func (m *meter) read(ctx context.Context) (usage, error) {
	var sum usage
	if m == nil {
		return sum, nil
	}
	for _, operator := range m.operators {
		values, err := readMetrics(ctx, operator+"/metrics")
		if err != nil {
			return usage{}, err
		}
		sum.mallocs += values[metricMallocs]
		sum.bytes += values[metricBytes]
		sum.cpuSeconds += values[metricCPU]
		sum.gcs += values[metricGCs]
	}
	return sum, nil
}

// cost divides what was used by the calls, less what the time alone costs.
func (m *meter) cost(before, after usage, took time.Duration, calls int) *Cost {
	if m == nil || calls < minCalls {
		return nil
	}
	one := after.minus(before).minus(m.idle.times(took.Seconds())).times(1 / float64(calls))
	return &Cost{Allocs: one.mallocs, Bytes: one.bytes, CPUMicros: one.cpuSeconds * 1e6, GCs: one.gcs * 1000}
}

func (u usage) minus(o usage) usage {
	return usage{u.mallocs - o.mallocs, u.bytes - o.bytes, u.cpuSeconds - o.cpuSeconds, u.gcs - o.gcs}
}

func (u usage) times(f float64) usage {
	return usage{u.mallocs * f, u.bytes * f, u.cpuSeconds * f, u.gcs * f}
}

// readMetrics reads the metrics that a meter needs.
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
		return nil, eris.Errorf("%s lacks metrics of the runtime", url)
	}
	return values, lines.Err()
}
