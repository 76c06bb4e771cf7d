// Package adminserver serves the HTTP interface for operators, metrics scrapers and the local upstream.
package adminserver

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/tamarackpitch/tamarackpitch/internal/common"
	"github.com/tamarackpitch/tamarackpitch/internal/controller"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// Config configures a Server.
type Config struct {
	Common *common.Common
	// Controller returns the node's controller, or nil while the node starts.
	Controller func() *controller.Controller
	// Refusals returns the number of refused calls by reason.
	Refusals func() map[string]uint64
	// Platform, unless nil, serves the requests of the users' platform below /api/.
	Platform http.Handler
}

// Server is the HTTP handler of the admin address. It is safe for concurrent use.
type Server struct {
	config Config
	mux    *http.ServeMux
}

// New returns a Server.
func New(c Config) *Server {
	s := &Server{config: c, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", s.serveHealth)
	s.mux.HandleFunc("GET /status", s.withController(s.serveStatus))
	s.mux.HandleFunc("GET /members", s.withController(s.serveMembers))
	s.mux.HandleFunc("GET /state", s.withController(s.serveState))
	s.mux.HandleFunc("GET /timeline", s.serveTimeline)
	s.mux.HandleFunc("GET /refusals", s.serveRefusals)
	s.mux.HandleFunc("POST /announce", s.withController(s.serveAnnouncement))
	s.mux.Handle("GET /metrics", promhttp.Handler())
	if c.Platform != nil {
		s.mux.Handle("/api/", c.Platform)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// controllerHandler is a handler that needs the controller.
type controllerHandler func(http.ResponseWriter, *http.Request, *controller.Controller)

// withController responds with 503 while the node starts and has no controller.
func (s *Server) withController(h controllerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k := s.config.Controller()
		if k == nil {
			http.Error(w, "the node is starting", http.StatusServiceUnavailable)
			return
		}
		h(w, r, k)
	}
}

// serveHealth responds with 200 while the node takes calls, and with 503 and the reason otherwise.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	k := s.config.Controller()
	if k == nil {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	view := k.Snapshot()
	switch {
	case view.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !view.Ready:
		http.Error(w, view.Reason, http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request, k *controller.Controller) {
	writeJSON(w, k.Status())
}

func (s *Server) serveMembers(w http.ResponseWriter, _ *http.Request, k *controller.Controller) {
	writeJSON(w, k.Members())
}

// serveState responds with the whole configuration as an encoded schema.State.
func (s *Server) serveState(w http.ResponseWriter, _ *http.Request, k *controller.Controller) {
	state, err := k.EncodedState()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/protobuf")
	_, _ = w.Write(state)
}

func (s *Server) serveTimeline(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.config.Common.Recorder.Events())
}

func (s *Server) serveRefusals(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.config.Refusals())
}

// serveAnnouncement renews the lease of the local upstream.
func (s *Server) serveAnnouncement(w http.ResponseWriter, r *http.Request, k *controller.Controller) {
	var a controller.Announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := k.Announce(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
