package watchdog

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/ring"
)

// observer is a watchdog on virtual time, with one ring.
type observer struct {
	*state
	queue  *ring.Ring[int]
	logged *memory.Handler
	hangs  int
	ready  bool
	now    clock.Instant
}

func newObserver(bound time.Duration) *observer {
	o := &observer{queue: ring.New[int]("q", 8, ring.Refuse), logged: memory.New(), ready: true}
	o.state = &state{readers: make(map[string]reader), cfg: Config{
		Log:      &log.Logger{Handler: o.logged},
		Rings:    func() []Watched { return []Watched{{"reader", "q", o.queue.Stats, bound}} },
		OnChange: func(hung int) { o.ready = hung == 0 }, OnHang: func() { o.hangs++ },
	}}
	return o
}

// pass lets time pass with an observation in each step.
func (o *observer) pass(d, step time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.now = o.now.Add(step)
		o.observe(o.now)
	}
}

func (o *observer) push(t *testing.T) { must.NoError(t, o.queue.Push(context.Background(), 1)) }

// Guards against a node that says that it is ready while one of its goroutines waits for
// ever, and against one that stays out of use after that has ended.
func TestReaderThatHangsIsNoticed(t *testing.T) {
	o := newObserver(Bound)
	o.push(t)
	o.pass(Bound, interval)
	must.True(t, o.ready)
	o.pass(interval, interval)
	must.False(t, o.ready)
	o.pass(Bound, interval)
	must.Eq(t, 1, o.hangs)
	must.Len(t, 1, o.logged.Entries)
	must.Eq(t, log.Fields{"duty": "reader", "ring": "q", "len": 1, "waited_ms": Bound.Milliseconds()}, o.logged.Entries[0].Fields)
	o.queue.Pop()
	o.pass(interval, interval)
	must.True(t, o.ready)
	must.Len(t, 2, o.logged.Entries)
}

// Guards against a busy reader, or an idle one, that is taken for one that hangs.
func TestReaderThatReadsDoesNotHang(t *testing.T) {
	o := newObserver(Bound)
	o.pass(3*Bound, interval) // idle
	o.push(t)
	for range 20 {
		o.push(t)
		o.pass(Bound-interval, interval)
		o.queue.Pop()
	}
	must.True(t, o.ready)
	must.Eq(t, 0, o.hangs)
}

// Guards against a process that was paused, or got hardly any processor time, whose
// goroutines are taken for hung; and against one in which that hides a hang for ever.
func TestPausedOrStarvedReaderDoesNotHang(t *testing.T) {
	o := newObserver(Bound)
	o.push(t)
	for range 30 {
		o.pass(interval, interval)
		o.pass(time.Hour, time.Hour) // paused
	}
	o.pass(10*time.Minute, lateAfter+time.Millisecond) // starved
	must.True(t, o.ready)
	o.pass(Bound, interval)
	must.False(t, o.ready)
}

// Guards against a ring that is gone, whose reader keeps the node out of use.
func TestForgottenRingDoesNotHang(t *testing.T) {
	o := newObserver(Bound)
	o.push(t)
	o.pass(2*Bound, interval)
	must.False(t, o.ready)
	o.cfg.Rings = func() []Watched { return nil }
	o.pass(interval, interval)
	must.True(t, o.ready)
}

// childVariable is set in the environment of the process that TestStoppedProcess stops.
const childVariable = "WATCHDOG_TEST_CHILD"

// runChild reads a ring that is never empty, slowly, until its standard input tells it to
// hang. It writes the number of readers that hang for each line that it reads.
func runChild() {
	queue, hang := ring.New[int]("q", 8, ring.Block), make(chan struct{})
	var hung atomic.Int64
	ctx := context.Background()
	go func() {
		for queue.Push(ctx, 1) == nil {
		}
	}()
	go ring.Consume(ctx, queue, 0, func(int) {
		select {
		case <-hang:
			<-ctx.Done()
		case <-time.After(interval):
		}
	}, nil)
	go Run(ctx, Config{
		Clock: clock.NewReal(), Log: &log.Logger{Handler: memory.New()}, OnHang: func() {}, OnChange: func(n int) { hung.Store(int64(n)) },
		Rings: func() []Watched { return []Watched{{"reader", "q", queue.Stats, 3 * time.Second}} },
	})
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		if in.Text() == "hang" {
			close(hang)
		}
		fmt.Println(hung.Load())
	}
}

// Guards against a process that counts as hung once it goes on after it was stopped by a
// signal, and against a watchdog that then no longer notices a hang.
func TestStoppedProcess(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		runChild()
		return
	}
	c := exec.Command(os.Args[0], "-test.run", "^TestStoppedProcess$")
	c.Env = append(os.Environ(), childVariable+"=1")
	stdin, err := c.StdinPipe()
	must.NoError(t, err)
	stdout, err := c.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, c.Start())
	defer func() { _ = c.Wait() }()
	defer stdin.Close()
	lines := bufio.NewScanner(stdout)
	ask := func(question string) string {
		_, err := io.WriteString(stdin, question+"\n")
		must.NoError(t, err)
		must.True(t, lines.Scan())
		return lines.Text()
	}
	must.Eq(t, "0", ask("hung?"))
	for range 2 {
		must.NoError(t, c.Process.Signal(syscall.SIGSTOP))
		time.Sleep(4 * time.Second)
		must.NoError(t, c.Process.Signal(syscall.SIGCONT))
		must.Eq(t, "0", ask("hung?"))
		time.Sleep(time.Second)
		must.Eq(t, "0", ask("hung?"))
	}
	ask("hang")
	for deadline := time.Now().Add(time.Minute); ask("hung?") != "1"; time.Sleep(interval) {
		must.True(t, time.Now().Before(deadline), must.Sprint("a reader that hangs is not noticed"))
	}
}
