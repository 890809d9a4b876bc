package backend

import (
	"net/http"
	"time"
)

// Announcement is the JSON answer of GET /.well-known/marjoram/announce.
type Announcement struct {
	Service      string `json:"service"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ChecksTokens bool   `json:"checks_tokens"`
}

// Load is the JSON answer of GET /load.
type Load struct {
	InFlight  int     `json:"in_flight"`
	Queued    int     `json:"queued"`
	Slots     int     `json:"slots"`
	Usage     float64 `json:"usage"` // in flight divided by slots
	Draining  bool    `json:"draining"`
	Completed uint64  `json:"completed"`
}

func (s *Server) serveAnnouncement(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Announcement{
		Service: s.cfg.Service, Slots: s.cfg.Slots,
		Connections: s.cfg.MaxConnections, ChecksTokens: s.cfg.ChecksTokens,
	})
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.delayProbe(r)
	if s.isDraining() && !s.cfg.HealthyWhileDraining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	s.delayProbe(r)
	writeJSON(w, s.currentLoad())
}

// currentLoad returns the last load report, and takes a new one first when the
// last has reached LoadReportMaxAge.
func (s *Server) currentLoad() Load {
	st := s.Stats()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadTakenAt.IsZero() || time.Since(s.loadTakenAt) >= s.cfg.LoadReportMaxAge {
		s.loadTakenAt = time.Now()
		s.load = Load{
			InFlight: st.InFlight, Queued: st.Queued, Slots: s.cfg.Slots,
			Usage:    float64(st.InFlight) / float64(s.cfg.Slots),
			Draining: s.draining, Completed: st.Completed,
		}
	}
	if s.cfg.DistortLoad != nil {
		return s.cfg.DistortLoad(s.load)
	}
	return s.load
}

func (s *Server) delayProbe(r *http.Request) {
	if s.cfg.ProbeDelay <= 0 {
		return
	}
	t := time.NewTimer(s.cfg.ProbeDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
