package configsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
	"marjoramshore.example/ownership"
	"marjoramshore.example/store"
)

type noWatch struct{}

func (noWatch) Watch(context.Context, string, func(store.Update)) error { return nil }

// follow runs a member whose coordinator has revision 3, for a while.
func follow(t *testing.T, apply func(intent.Config) error, pull func() (intent.Config, error), during time.Duration) (pulls int, d *Syncer) {
	synctest.Test(t, func(t *testing.T) {
		var err error
		d, err = New(Config{
			Store: noWatch{},
			Pull: func(context.Context, core.Member) (intent.Config, error) {
				pulls++
				return pull()
			},
			Apply: func(_ context.Context, c intent.Config) error { return apply(c) },
		})
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), during)
		defer cancel()
		d.SetSnapshot(&ownership.Snapshot{WantRevision: 3, Coordinator: core.Member{Address: "c:1"}})
		d.Run(ctx)
		synctest.Wait()
	})
	return pulls, d
}

func revision(r core.Revision) (intent.Config, error) { return intent.Config{Revision: r}, nil }

// Guards against pulling again and again what cannot be applied yet: a node
// that had left a full group sent its coordinator thousands of calls a second.
func TestPullsOnceWhileItCannotApply(t *testing.T) {
	tries := 0
	pulls, d := follow(t, func(intent.Config) error {
		tries++
		if tries < 5 {
			return core.Fail(core.CodeUnavailable, "not a member yet")
		}
		return nil
	}, func() (intent.Config, error) { return revision(3) }, 10*time.Second)
	must.Eq(t, 1, pulls)
	must.Eq(t, 5, tries)
	must.Eq(t, core.Revision(3), d.Current().Revision)
}

// Guards against a coordinator that answers with an old revision, which must
// neither be applied over a newer one nor be asked for without a pause.
func TestOldAnswer(t *testing.T) {
	var applied []core.Revision
	var asked []time.Time
	answers := []core.Revision{2, 1, 3}
	pulls, d := follow(t, func(c intent.Config) error {
		applied = append(applied, c.Revision)
		return nil
	}, func() (intent.Config, error) {
		asked = append(asked, time.Now())
		r := answers[0]
		if len(answers) > 1 {
			answers = answers[1:]
		}
		return revision(r)
	}, 10*time.Second)
	must.Eq(t, []core.Revision{2, 3}, applied)
	must.Eq(t, 3, pulls)
	must.GreaterEq(t, 2*retryInterval, asked[2].Sub(asked[0]))
	must.Eq(t, core.Revision(3), d.Current().Revision)
}
