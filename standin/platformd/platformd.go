// Package platformd is a stand-in for the platform: an HTTP server with the log, the list of VMs, and admin paths
// through which VMs register and tests set faults.
package platformd

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"waxwingslip.example/external/directory"
	dirfake "waxwingslip.example/external/directory/fake"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore"
	logfake "waxwingslip.example/external/logstore/fake"
	"waxwingslip.example/standin/internal/listen"
)

const maxAdminBodyBytes = 1 << 20

// Server is a running stand-in of the platform.
type Server struct {
	// Log and Directory are the fakes behind the HTTP interface.
	Log       *logfake.Store
	Directory *dirfake.Directory

	server *listen.Server
}

// Start starts a server on an IP:port address; port 0 picks a free port.
func Start(address string) (*Server, error) {
	s := &Server{Log: logfake.New(nil), Directory: dirfake.New(nil)}
	server, err := listen.Serve(address, s.handler())
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// Address returns the bound IP:port.
func (s *Server) Address() string { return s.server.Address }

// URL returns the base URL for the clients of the log and the directory.
func (s *Server) URL() string { return "http://" + s.server.Address }

// Close stops the server and closes its connections.
func (s *Server) Close() { s.server.Close() }

// handler serves /v1/streams and /v1/vms as described at logstore.NewHandler and directory.NewHandler, and
//
//	PUT    /admin/vms/{id}              registers a directory.VM
//	DELETE /admin/vms/{id}              removes a VM from the list
//	PUT    /admin/faults/log            sets a fault.Setting
//	PUT    /admin/faults/directory      sets a fault.Setting
//	PUT    /admin/distortion            sets a fake.Distortion of the list
//	PUT    /admin/retention             sets a fake.Retention of the log
//	GET    /admin/streams               returns the number of entries of each stream
func (s *Server) handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.PathPrefix("/v1/streams/").Handler(logstore.NewHandler(s.Log))
	r.PathPrefix("/v1/vms").Handler(directory.NewHandler(s.Directory))
	r.HandleFunc("/admin/vms/{id}", s.putVM).Methods(http.MethodPut)
	r.HandleFunc("/admin/vms/{id}", func(_ http.ResponseWriter, r *http.Request) {
		s.Directory.Remove(vmID(r))
	}).Methods(http.MethodDelete)
	handlePut(r, "/admin/faults/log", func(x fault.Setting) { s.Log.Faults.Set(x) })
	handlePut(r, "/admin/faults/directory", func(x fault.Setting) { s.Directory.Faults.Set(x) })
	handlePut(r, "/admin/distortion", s.Directory.Distort)
	handlePut(r, "/admin/retention", s.Log.SetRetention)
	r.HandleFunc("/admin/streams", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Log.Streams())
	}).Methods(http.MethodGet)
	return r
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm directory.VM
	if !decode(w, r, &vm) {
		return
	}
	if vm.ID == "" || vm.ID != vmID(r) {
		http.Error(w, "the VM's id differs from the path", http.StatusBadRequest)
		return
	}
	s.Directory.Put(vm)
}

func vmID(r *http.Request) string {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		return ""
	}
	return id
}

func handlePut[T any](r *mux.Router, path string, set func(T)) {
	r.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		var v T
		if decode(w, r, &v) {
			set(v)
		}
	}).Methods(http.MethodPut)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
