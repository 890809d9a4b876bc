package keyed

import (
	"net"

	"marjoramshore.example/standin/garble"
)

func (s *Server) serve(ln net.Listener) {
	s.stopped.Go(func() {
		// Serve returns when the listener is closed.
		_ = s.http.Serve(garble.Listener{Listener: ln})
	})
}

// RefuseConnections makes the server refuse new connections, as one that is full or
// leaves does. It goes on with its requests and its reports.
func (s *Server) RefuseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals++
	_ = s.accepting.Close()
}

// AcceptConnections ends one RefuseConnections. The server accepts connections once all
// have ended, unless it has crashed.
func (s *Server) AcceptConnections() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusals--; s.refusals > 0 || s.HasCrashed() {
		return nil
	}
	ln, err := net.Listen("tcp", s.ln.Addr().String())
	if err == nil {
		s.accepting = ln
		s.serve(ln)
	}
	return err
}

// Crash closes the listener and all connections without telling the node. Later
// calls do nothing.
func (s *Server) Crash() {
	s.crashed.Do(func() {
		close(s.stop)
		_ = s.http.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = true
		if s.cfg.Observer != nil {
			s.cfg.Observer.Ended(s.cfg.Instance)
		}
	})
	s.stopped.Wait()
}

// HasCrashed reports whether Crash was called.
func (s *Server) HasCrashed() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}
