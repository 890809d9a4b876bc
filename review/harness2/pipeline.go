package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pipelineCase lets clients send idempotent requests behind each other, the first one
// to a service whose backend server has turned slow.
func pipelineCase(r *run) int {
	const (
		clients     = 75
		perClient   = 16
		pause       = 220 * time.Millisecond
		answerBytes = 262000
		work        = 380 * time.Millisecond
		slowFactor  = 12
	)
	fast, err := newBackend("hintapalvelu", "fi-south-a", "i-1")
	if err != nil {
		return notRun
	}
	slow, err := newBackend("raportit", "fi-south-b", "i-2")
	if err != nil {
		return notRun
	}
	body := bytes.Repeat([]byte("x"), answerBytes)
	fast.handle = func(q *request) bool {
		time.Sleep(5 * time.Millisecond)
		return fast.answer(q, 200, nil, body)
	}
	slow.handle = func(q *request) bool {
		if r.trouble {
			time.Sleep(work * slowFactor)
		} else {
			time.Sleep(work)
		}
		return slow.answer(q, 200, nil, []byte("report"))
	}
	r.putConfig([][]any{
		{"r1", "ficu95.example", "/lookup/", "idempotent", "6000ms", "1500ms", 1, "hintapalvelu", 2, nil},
		{"r2", "ficu95.example", "/report/", "idempotent", "6000ms", "1500ms", 1, "raportit", 2, nil},
	}, [][]any{service("hintapalvelu"), service("raportit")})
	n := newNode(r, "sidecar-fi-south-a-1", "fi-south-a", "hintapalvelu", fast)
	newNode(r, "sidecar-fi-south-b-1", "fi-south-b", "raportit", slow)
	if !r.startAll(fast, slow) {
		return notRun
	}
	for i := range 100 {
		exchange(n.addr("outbound"), requestHead("GET", "/lookup/warm", fmt.Sprintf("warm-%d", i), 2500, "Connection: close")+"\r\n", 2*time.Second)
	}
	r.logf("resident memory before: %d MB; limits.memory-mb is %d", n.residentMB(), memoryMB)
	most, ended := 0, make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(10 * time.Millisecond):
				most = max(most, n.residentMB())
			}
		}
	})
	var mu sync.Mutex
	counts := map[string]int{}
	var wg sync.WaitGroup
	for client := range clients {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", n.addr("outbound"), time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			go func() {
				for i := range perClient {
					path := "/lookup/x"
					if i == 0 {
						path = "/report/x"
					}
					if _, err := io.WriteString(c, requestHead("GET", path, fmt.Sprintf("c%dr%d", client, i), 6000)+"\r\n"); err != nil {
						return
					}
					time.Sleep(pause)
				}
			}()
			br := bufio.NewReader(c)
			for i := range perClient {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				result := fmt.Sprintf("lookup %d", resp.StatusCode)
				if i == 0 {
					result = fmt.Sprintf("report %d", resp.StatusCode)
				}
				if err != nil {
					result += " cut off"
				}
				mu.Lock()
				counts[result]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	close(ended)
	watching.Wait()
	r.logf("%d clients sent %d requests each on one connection, %v apart, and read all answers; answers: %s", clients, perClient, pause, strings.Trim(fmt.Sprint(counts), "map[]"))
	r.logf("greatest resident memory of the process: %d MB; limits.memory-mb is %d", most, memoryMB)
	if most > memoryMB {
		return broken
	}
	return held
}
