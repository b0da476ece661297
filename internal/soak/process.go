package soak

import (
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortyard/ragwortyard/platform"
)

// process is one sidecar that the soak starts, signals and restarts. It signals only
// processes that it started itself, by process id.
type process struct {
	binary       string
	settingsPath string // path of the settings file
	log          *os.File
	cores        int // that the process may use at the same time

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // closed when cmd has exited
	stopped bool          // the run is over; start does nothing
}

// restartDelay is how long the platform takes to restart a process.
const restartDelay = 300 * time.Millisecond

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	cmd := exec.Command(p.binary, "sidecar")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath, "GOMAXPROCS="+strconv.Itoa(p.cores))
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the running process. It returns a channel that is
// closed when that process has exited.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have exited already
	return p.exited
}

// restart sends a signal, waits until the process has exited and starts it again.
// A process that has not exited after grace is killed.
func (p *process) restart(s syscall.Signal, grace time.Duration) error {
	exited := p.signal(s)
	select {
	case <-exited:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(restartDelay)
	p.mu.Lock()
	running := p.exited != exited // another fault has restarted it
	p.mu.Unlock()
	if running {
		return nil
	}
	return p.start()
}

// stop kills the process and prevents later starts.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}
