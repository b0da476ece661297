package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortyard/ragwortyard/platform"
)

// process is one sidecar that the soak starts, signals and starts again. It ends
// only processes that it started, by their ids.
type process struct {
	binary   string
	settings string // path of the settings file
	log      *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed when cmd has ended
	stopped bool          // the run is over; nothing is started any more
}

// restartDelay is how long the platform takes to start a process again.
const restartDelay = 300 * time.Millisecond

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	cmd := exec.Command(p.binary, "sidecar")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the running process. It returns a channel that is
// closed when that process has ended.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // it may have ended already
	return p.ended
}

// replace ends the process with a signal and starts it again. A process that has
// not ended after grace is killed.
func (p *process) replace(s syscall.Signal, grace time.Duration) error {
	ended := p.signal(s)
	select {
	case <-ended:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(restartDelay)
	p.mu.Lock()
	running := p.ended != ended // another fault started it meanwhile
	p.mu.Unlock()
	if running {
		return nil
	}
	return p.start()
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}
