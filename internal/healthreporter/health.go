package healthreporter

import (
	"net/http"

	"github.com/gorilla/mux"
)

// Register routes /healthz, which always succeeds, and /readyz, which answers 503 with the error of ready, if any.
func Register(r *mux.Router, ready func() error) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}).Methods(http.MethodGet)
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}).Methods(http.MethodGet)
}
