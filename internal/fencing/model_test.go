package fencing

import (
	"os"
	"strconv"
	"testing"

	"silvergate/internal/modelcheck"
)

// defect is a set of deliberate faults in the model; the zero value is the code without faults.
type defect uint32

const (
	releaseWithoutClaim defect = 1 << iota
	evidenceWithoutToken
	releaseWithoutTaskRevision
	trustBeforeMirror
	launchBeforeMirror
	launchAnyRecord
	ignoreLaunches
	answeredLaunchIsSpent
	adoptAtClaimToken
	raiseToAnyToken
	oneLaunchPerTask
	trustOvertaken
	adoptAnything
	adoptWithoutLaunches
	releaseOnUntrusted
	keepTokenOnCancel
	killListedOnly
	answerWithoutKill
	ignoreHorizon
	leaseWithoutToken
	applyFailoverAtOnce
	releaseWithoutLinks
	claimWithoutLinks
)

func (md *model) has(d defect) bool { return md.defects&d != 0 }

func (md *model) explore(start func() world, limit int) modelcheck.Result {
	return modelcheck.Run(modelcheck.Model[world]{Start: start(), Next: md.steps, Violation: md.violation, Label: describeStep}, limit)
}

// stateLimit returns how many states an exploration may visit: preset, or the value of SIM_STATES, which
// explorations outside CI set.
func stateLimit(preset int) int {
	if limit, err := strconv.Atoi(os.Getenv("SIM_STATES")); err == nil {
		return limit
	}
	return preset
}

// TestNothingRunsThatIsNotBound explores the model without defects. It guards against every interleaving in
// which an attempt runs that the records don't bind to its machine and epoch.
func TestNothingRunsThatIsNotBound(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			r := (&model{bounds: sc.bounds}).explore(sc.start, stateLimit(200_000))
			t.Logf("%+v: %v", sc.bounds, r)
			if r.Violation != "" {
				t.Error("the invariant is violated")
			}
		})
	}
}

// defectCases are the defects that an exploration must find, each with the scenario in which the
// fewest steps lead to a violation.
var defectCases = []struct {
	name, scenario string
	defects        defect
}{
	{"release without the claim's condition", "one machine", releaseWithoutClaim},
	{"evidence that does not name its token", "one epoch", evidenceWithoutToken},
	{"release without the record's condition, as if built again after an unknown outcome", "one epoch", releaseWithoutTaskRevision},
	{"heartbeats trusted before the mirror has reached the claim", "committed release", trustBeforeMirror | launchBeforeMirror},
	{"launches of what an earlier owner may have ended", "release under way", launchBeforeMirror},
	{"direct launches of whatever the record shows", "committed release, mirror far behind", launchAnyRecord},
	{"attempt forgotten or released while its direct launch is not void", "one epoch", ignoreLaunches},
	{"answered launch that counts as spent", "pending launch", answeredLaunchIsSpent},
	{"adopted claim whose launches count as those of the claim's token", "abandoned launch under a raised token", adoptAtClaimToken},
	{"token raised, but not above the launch's", "abandoned launch above the token shown", raiseToAnyToken},
	{"one slot for a task's direct launches", "pending launch", oneLaunchPerTask},
	{"absence proved by a heartbeat that a launch has overtaken, if its answer makes it spent", "one epoch", trustOvertaken | answeredLaunchIsSpent},
	{"claim of an earlier incarnation adopted whatever the worker lists", "abandoned launch, not arrived", adoptAnything},
	{"adopted claim without the launches that the earlier incarnation may have left", "abandoned launch under a raised token", adoptWithoutLaunches},
	{"absence proved by a heartbeat that is not trusted", "abandoned launch, not arrived", releaseOnUntrusted},
	{"lease renewed under the old token while a cancelled launch may come", "cancellation, pending launch", keepTokenOnCancel},
	{"kills of listed attempts alone, when a launch has overtaken the heartbeat", "cancellation, pending launch", killListedOnly},
	{"answers that do not kill what is cancelled", "cancellation", answerWithoutKill},
	{"answers on a proof that is older than the horizon", "cancellation", ignoreHorizon},
	{"lease that ends although the token was never shown", "one epoch", leaseWithoutToken},
	{"failover that is applied before the mirror is complete up to it", "failover beside a claim", applyFailoverAtOnce},
	{"release without the condition that the group has not failed over", "failover", releaseWithoutLinks},
	{"claim without the condition that the group has not failed over", "claim beside a failover", claimWithoutLinks},
}

// TestExplorationFindsEachDefect removes one condition of the code at a time and requires the exploration to
// find a violation. It guards against a model that would pass without that condition.
func TestExplorationFindsEachDefect(t *testing.T) {
	for _, d := range defectCases {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for _, sc := range scenarios {
				if sc.name != d.scenario {
					continue
				}
				r := (&model{bounds: sc.bounds, defects: d.defects}).explore(sc.start, stateLimit(600_000))
				t.Logf("%+v: %v", sc.bounds, r)
				if r.Violation != "" {
					return
				}
			}
			t.Error("the exploration found no violation")
		})
	}
}
