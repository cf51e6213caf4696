// Package workerd is a stand-in for worker VMs: it serves the command interface of fake workers and runs an
// HTTP endpoint for each service replica that they execute.
package workerd

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/external/worker/fake"
	"waxwingslip.example/standin/endpointd"
	"waxwingslip.example/standin/internal/listen"
	"waxwingslip.example/standin/platformd"
)

// catchUpInterval is the longest time that the endpoint of a replica stays open after its run has ended or its lease
// has expired.
const catchUpInterval = 20 * time.Millisecond

// WorkerOptions describes one worker VM.
type WorkerOptions struct {
	ID       string
	Zone     string
	Rack     string
	Capacity resource.Vector
	// Address is the IP:port of the command interface; an empty one means 127.0.0.1:0.
	Address string
	// ClockStartMs, ClockRate and UsageLagMs are passed to the fake worker.
	ClockStartMs int64
	ClockRate    float64
	UsageLagMs   int64
}

// Worker is a hosted worker VM.
type Worker struct {
	// Fake is the simulated worker.
	Fake *fake.Worker
	// VM is the worker's entry in the list of VMs.
	VM directory.VM

	server    *listen.Server
	endpoints *endpoints
}

// Server hosts worker VMs.
type Server struct {
	platformURL string
	workers     map[string]*Worker
	order       []string
	stop        chan struct{}
	loops       sync.WaitGroup
}

// Start starts workers and, unless platformURL is empty, registers them at the platform with this base URL.
func Start(ctx context.Context, platformURL string, workers []WorkerOptions) (*Server, error) {
	s := &Server{platformURL: platformURL, workers: map[string]*Worker{}, stop: make(chan struct{})}
	for _, o := range workers {
		if err := s.add(ctx, o); err != nil {
			s.Close()
			return nil, errors.Wrapf(err, "worker %s", o.ID)
		}
	}
	s.loops.Go(s.catchUp)
	return s, nil
}

func (s *Server) add(ctx context.Context, o WorkerOptions) error {
	if o.ID == "" || s.workers[o.ID] != nil {
		return errors.New("the id is empty or used twice")
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	replicaEndpoints := &endpoints{worker: o.ID, running: map[worker.RunKey]*endpoint{}}
	w := &Worker{endpoints: replicaEndpoints, Fake: fake.New(fake.Options{
		ID: o.ID, Capacity: o.Capacity, ClockStartMs: o.ClockStartMs, ClockRate: o.ClockRate,
		UsageLagMs: o.UsageLagMs, Endpoints: replicaEndpoints,
	})}
	replicaEndpoints.fake = w.Fake
	server, err := listen.Serve(o.Address, w.handler())
	if err != nil {
		return err
	}
	w.server = server
	w.VM = directory.VM{ID: o.ID, Role: directory.RoleWorker, Zone: o.Zone, Rack: o.Rack, Address: server.Address,
		State: directory.StateLive, Capacity: o.Capacity}
	s.workers[o.ID] = w
	s.order = append(s.order, o.ID)
	if s.platformURL == "" {
		return nil
	}
	return platformd.Register(ctx, s.platformURL, w.VM)
}

// Worker returns the worker with an id, or nil.
func (s *Server) Worker(id string) *Worker { return s.workers[id] }

// Workers returns all workers in the order of their options.
func (s *Server) Workers() []*Worker {
	var all []*Worker
	for _, id := range s.order {
		all = append(all, s.workers[id])
	}
	return all
}

// History returns the executions of all workers.
func (s *Server) History() []fake.Execution {
	var all []fake.Execution
	for _, w := range s.Workers() {
		all = append(all, w.Fake.History()...)
	}
	return all
}

// Journal returns the requests that the endpoints of all workers executed, replica by replica.
func (s *Server) Journal() []endpointd.Execution {
	var all []endpointd.Execution
	for _, w := range s.Workers() {
		all = append(all, w.Journal()...)
	}
	return all
}

// Close stops all workers and endpoints without removing the workers from the list of VMs, as if the VMs had failed.
func (s *Server) Close() {
	close(s.stop)
	s.loops.Wait()
	for _, w := range s.workers {
		w.Fake.Kill()
		w.server.Close()
		w.endpoints.waitForClose()
	}
}

// catchUp periodically closes the endpoints of runs that ended without a command.
func (s *Server) catchUp() {
	t := time.NewTicker(catchUpInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for _, w := range s.workers {
				w.Fake.CatchUp()
			}
		case <-s.stop:
			return
		}
	}
}

// Address returns the IP:port of the command interface.
func (w *Worker) Address() string { return w.server.Address }

// SetCondition changes the health of the worker and of its endpoints.
func (w *Worker) SetCondition(c fake.Condition) {
	w.Fake.SetCondition(c)
	w.endpoints.setCondition(c.Leaving, c.Refusing)
}

// Journal returns the requests that the worker's endpoints executed.
func (w *Worker) Journal() []endpointd.Execution { return w.endpoints.journal() }

// handler serves the command interface as described at worker.NewHandler, and
//
//	PUT /admin/condition   sets a fake.Condition
//	GET /admin/history     returns the executions of runs
//	GET /admin/journal     returns the executed requests
func (w *Worker) handler() http.Handler {
	r := mux.NewRouter()
	r.PathPrefix("/v1/").Handler(worker.NewHandler(w.Fake))
	r.HandleFunc("/admin/condition", func(rw http.ResponseWriter, r *http.Request) {
		var c fake.Condition
		dec := json.NewDecoder(http.MaxBytesReader(rw, r.Body, 64<<10))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&c); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.SetCondition(c)
	}).Methods(http.MethodPut)
	get := func(path string, value func() any) {
		r.HandleFunc(path, func(rw http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(rw).Encode(value())
		}).Methods(http.MethodGet)
	}
	get("/admin/history", func() any { return w.Fake.History() })
	get("/admin/journal", func() any { return w.Journal() })
	return r
}
