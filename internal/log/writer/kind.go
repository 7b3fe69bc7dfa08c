package writer

import (
	"context"
	"log/slog"
)

// Kind is what a line is about. Each kind has a share of the lines that nothing else takes.
type Kind int

// The kinds.
const (
	// General lines are those of no other kind.
	General Kind = iota
	// Requests are answers to clients' calls.
	Requests
	// Tasks are the usual course of workflows and tasks, of which there are thousands.
	Tasks
	// Lasting lines are about lasting tasks that don't run, and why.
	Lasting
	// Owners tell who decides.
	Owners
	// Warnings are General lines of the level Warn and above.
	Warnings
	kinds
)

// String returns the kind as the log shows it.
func (k Kind) String() string {
	return [...]string{General: "General", Requests: "Requests", Tasks: "Tasks", Lasting: "Lasting", Owners: "Owners", Warnings: "Warnings"}[k]
}

// handler writes lines of a kind.
type handler struct {
	// of holds a handler for each kind.
	of   [kinds]slog.Handler
	kind Kind
}

// Handler returns a handler that writes JSON lines of the kind General.
func (w *Writer) Handler(options *slog.HandlerOptions) slog.Handler {
	h := &handler{}
	for kind := range kinds {
		h.of[kind] = slog.NewJSONHandler(kindWriter{w, kind}, options)
	}
	return h
}

// Of returns a logger for lines of a kind that writes as log does. A logger that doesn't write to a Writer has no kinds.
func Of(log *slog.Logger, kind Kind) *slog.Logger {
	h, found := log.Handler().(*handler)
	if !found {
		return log
	}
	return slog.New(&handler{h.of, kind})
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.of[h.kind].Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	kind := h.kind
	if kind == General && record.Level >= slog.LevelWarn {
		kind = Warnings
	}
	return h.of[kind].Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return h.with(func(one slog.Handler) slog.Handler { return one.WithAttrs(attrs) })
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return h.with(func(one slog.Handler) slog.Handler { return one.WithGroup(name) })
}

func (h *handler) with(change func(slog.Handler) slog.Handler) slog.Handler {
	out := &handler{kind: h.kind}
	for kind := range kinds {
		out.of[kind] = change(h.of[kind])
	}
	return out
}

// kindWriter writes lines of a kind.
type kindWriter struct {
	w    *Writer
	kind Kind
}

// Write implements io.Writer.
func (k kindWriter) Write(line []byte) (int, error) {
	k.w.write(k.kind, line, (*use).take)
	return len(line), nil
}
