package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"waxwingslip.example/node/operator/api"
)

func addCommands(r *mux.Router, c Commands) {
	handleCommand(r, api.PathPublishConfig, c.PublishConfig, func(b api.PublishConfig) uuid.UUID { return b.Command })
	handleCommand(r, api.PathSubmitJob, c.SubmitJob, func(b api.SubmitJob) uuid.UUID { return b.Command })
	handleCommand(r, api.PathCancelJob, c.CancelJob, func(b api.CancelJob) uuid.UUID { return b.Command })
	handleCommand(r, api.PathSetZoneService, c.SetZoneService, func(b api.SetZoneService) uuid.UUID { return b.Command })
	handleCommand(r, api.PathWorkerLost, c.WorkerLost, func(b api.WorkerLost) uuid.UUID { return b.Command })
}

func handleCommand[T any](r *mux.Router, path string, do func(context.Context, T) (api.Answer, error),
	id func(T) uuid.UUID) {
	r.Path(path).Methods(http.MethodPost).HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var body T
		if status, err := decodeBody(w, req, &body); err != nil {
			writeProblem(w, status, "read command", err)
			return
		}
		if id(body) == uuid.Nil {
			writeProblem(w, http.StatusBadRequest, "read command", errors.New(`field "command" must be a UUID that the client chose`))
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), CommandTimeout)
		defer cancel()
		answer, err := do(ctx, body)
		if err != nil {
			writeProblem(w, statusOf(err), path, err)
			return
		}
		answer.Command = id(body)
		writeJSON(w, statusOfResult(answer.Result), answer)
	})
}

func decodeBody(w http.ResponseWriter, req *http.Request, out any) (int, error) {
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, api.MaxCommandBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return http.StatusRequestEntityTooLarge, errors.Errorf("body is larger than %d bytes", tooLarge.Limit)
		}
		return http.StatusBadRequest, errors.Wrap(err, "body is not a valid command")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return http.StatusBadRequest, errors.New("body has data after the command")
	}
	return 0, nil
}

func statusOfResult(r api.Result) int {
	switch r {
	case api.Accepted:
		return http.StatusOK
	case api.Conflict:
		return http.StatusConflict
	case api.Rejected:
		return http.StatusUnprocessableEntity
	}
	return http.StatusGatewayTimeout
}
