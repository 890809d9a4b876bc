package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"marjoramshore.example/standin/backend"
	"marjoramshore.example/standin/platform"
)

func standinStoreCommand() command {
	listen := "127.0.0.1:18900"
	sub := flaggy.NewSubcommand("standin-store")
	sub.Description = "Run a stand-in for the platform's store, for trials. It keeps objects in memory."
	sub.String(&listen, "l", "listen", "Address to listen on.")
	return command{sub, func(ctx context.Context, o streams) int {
		srv := &http.Server{Addr: listen, Handler: platform.Handler(platform.New(1)), ReadHeaderTimeout: 10 * time.Second}
		context.AfterFunc(ctx, func() { _ = srv.Close() })
		if err := srv.ListenAndServe(); err != nil && ctx.Err() == nil {
			return o.fail(exitFailure, err)
		}
		return exitOK
	}}
}

func standinBackendCommand() command {
	listen, service := "127.0.0.1:18100", "hintapalvelu"
	slots, connections := 17, 130
	var checksTokens bool
	sub := flaggy.NewSubcommand("standin-backend")
	sub.Description = "Run a stand-in backend server, for trials."
	sub.String(&listen, "l", "listen", "Address to listen on.")
	sub.String(&service, "s", "service", "Service that the backend server announces.")
	sub.Int(&slots, "", "slots", "Maximum number of requests that run concurrently.")
	sub.Int(&connections, "", "connections", "Maximum number of open connections.")
	sub.Bool(&checksTokens, "", "checks-tokens", "Reject outdated fencing tokens.")
	return command{sub, func(ctx context.Context, o streams) int {
		s := backend.New(backend.Config{Service: service, Slots: slots, MaxConnections: connections, ChecksTokens: checksTokens})
		if err := s.Start(listen); err != nil {
			return o.fail(exitFailure, err)
		}
		<-ctx.Done()
		s.Close()
		stats := s.Stats()
		fmt.Fprintf(o.stdout, "requests=%d second_runs=%d\n", stats.Completed, stats.DuplicateRuns)
		return exitOK
	}}
}
