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

type noopWatcher struct{}

func (noopWatcher) Watch(context.Context, string, func(store.Update)) error { return nil }

// runMember runs a member whose coordinator has announced revision 3, and returns
// the number of its pulls.
func runMember(t *testing.T, apply func(intent.Config) error, pull func() (intent.Config, error), during time.Duration) (pulls int, s *Syncer) {
	synctest.Test(t, func(t *testing.T) {
		var err error
		s, err = New(Config{
			Store: noopWatcher{},
			Pull: func(context.Context, core.Member) (intent.Config, error) {
				pulls++
				return pull()
			},
			Apply: func(_ context.Context, c intent.Config) error { return apply(c) },
		})
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), during)
		defer cancel()
		s.SetSnapshot(&ownership.Snapshot{RequiredRevision: 3, Coordinator: core.Member{Address: "c:1"}})
		s.Run(ctx)
		synctest.Wait()
	})
	return pulls, s
}

func configAt(r core.Revision) (intent.Config, error) { return intent.Config{Revision: r}, nil }

// Guards against repeated pulls of a configuration that cannot be applied yet: a
// node that had left a full group sent its coordinator thousands of calls per
// second.
func TestNoRepeatedPullWhileApplyFails(t *testing.T) {
	applyCalls := 0
	pulls, s := runMember(t, func(intent.Config) error {
		applyCalls++
		if applyCalls < 5 {
			return core.Fail(core.CodeUnavailable, "not a member yet")
		}
		return nil
	}, func() (intent.Config, error) { return configAt(3) }, 10*time.Second)
	must.Eq(t, 1, pulls)
	must.Eq(t, 5, applyCalls)
	must.Eq(t, core.Revision(3), s.Current().Revision)
}

// Guards against a coordinator that responds with an outdated revision: the
// member must neither apply it over a newer one nor repeat the pull without a
// pause.
func TestOutdatedPullIsNotApplied(t *testing.T) {
	var applied []core.Revision
	var pullTimes []time.Time
	revisions := []core.Revision{2, 1, 3}
	pulls, s := runMember(t, func(c intent.Config) error {
		applied = append(applied, c.Revision)
		return nil
	}, func() (intent.Config, error) {
		pullTimes = append(pullTimes, time.Now())
		r := revisions[0]
		if len(revisions) > 1 {
			revisions = revisions[1:]
		}
		return configAt(r)
	}, 10*time.Second)
	must.Eq(t, []core.Revision{2, 3}, applied)
	must.Eq(t, 3, pulls)
	must.GreaterEq(t, 2*retryInterval, pullTimes[2].Sub(pullTimes[0]))
	must.Eq(t, core.Revision(3), s.Current().Revision)
}
