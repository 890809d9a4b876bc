// Package cycles has goroutines that wait for one another, and some that do not.
package cycles

import (
	"context"

	"marjoramshore.example/ring"
)

// Closer is ended by a function that pushes to the ring that only Closer reads.
type Closer struct {
	queue *ring.Ring[int]
	end   func()
}

func NewCloser() *Closer {
	c := &Closer{queue: ring.New[int]("closer", 4, ring.Block)}
	c.end = func() { c.push(1) }
	return c
}

func (c *Closer) push(n int) { _ = c.queue.Push(context.Background(), n) }

func (c *Closer) Run(ctx context.Context) {
	ring.Consume(ctx, c.queue, 0, func(int) { c.end() }, nil)
}

// Left and Right push to each other's ring.
type Left struct {
	queue *ring.Ring[string]
	right *Right
}

type Right struct {
	queue *ring.Ring[byte]
	left  *Left
}

func NewPair() *Left {
	l := &Left{queue: ring.New[string]("left", 4, ring.Block)}
	l.right = &Right{queue: ring.New[byte]("right", 4, ring.Block), left: l}
	return l
}

func (l *Left) Run(ctx context.Context) {
	for _, ok := l.queue.Next(ctx); ok; _, ok = l.queue.Next(ctx) {
		_ = l.right.queue.Push(ctx, 1)
	}
}

func (r *Right) Run(ctx context.Context) {
	select {
	case <-r.queue.Ready():
		_ = r.left.queue.Push(ctx, "")
	case <-ctx.Done():
	}
}

// Asker waits for an answer of Answerer, which waits for room in the ring of Asker.
type Asker struct {
	queue *ring.Ring[int8]
	other *Answerer
}

type question struct{ reply ring.Reply[int16] }

type Answerer struct {
	queue *ring.Ring[question]
	asker *Asker
}

func NewAsker() *Asker {
	a := &Asker{queue: ring.New[int8]("asker", 4, ring.Block)}
	a.other = &Answerer{queue: ring.New[question]("answerer", 4, ring.Refuse), asker: a}
	return a
}

func (a *Asker) Run(ctx context.Context) {
	ring.Consume(ctx, a.queue, 0, func(int8) {
		q := question{ring.NewReply[int16]()}
		_ = a.other.queue.Push(ctx, q)
		q.reply.Wait(ctx)
	}, nil)
}

func (a *Answerer) Run(ctx context.Context) {
	ring.Consume(ctx, a.queue, 0, func(q question) {
		q.reply.Send(1)
		_ = a.asker.queue.Push(ctx, 1)
	}, nil)
}

// Patient pushes to its own ring without waiting: on another goroutine, and to one that
// refuses what it has no room for.
type Patient struct {
	queue   *ring.Ring[int32]
	refuses *ring.Ring[int64]
}

func NewPatient() *Patient {
	return &Patient{ring.New[int32]("patient", 4, ring.Block), ring.New[int64]("refuses", 4, ring.Refuse)}
}

func (p *Patient) Run(ctx context.Context) {
	for {
		select {
		case <-p.queue.Ready():
			go func() { _ = p.queue.Push(ctx, 1) }()
		case <-p.refuses.Ready():
			_ = p.refuses.Push(ctx, 1)
		case <-ctx.Done():
			return
		}
	}
}

// Unread has a ring that nobody reads.
type Unread struct{ queue *ring.Ring[uint] }

func NewUnread() *Unread { return &Unread{ring.New[uint]("unread", 4, ring.Block)} }
