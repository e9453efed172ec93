package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"chervilswitch.example/demo/site"
	"chervilswitch.example/standin/engine"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

func run(_ []string, out io.Writer) int {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	s, err := site.Start(ctx, site.Options{
		Entries: 4, Replicas: 12, Plains: 3, ColdLimit: 4, WarmLimit: 16,
		Engine:      engine.Options{Step: 10 * time.Millisecond, Prefill: 20 * time.Millisecond, CachedPrefixes: 8, ReportLag: 200 * time.Millisecond},
		AddressKeep: time.Second,
		Logger:      &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	if err != nil {
		fmt.Fprintln(out, err)
		return 1
	}
	defer s.Close()
	fmt.Fprintln(out, s.Callers, s.Platform)
	<-ctx.Done()
	return 0
}
