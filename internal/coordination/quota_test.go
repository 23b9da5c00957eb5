package coordination

import (
	"testing"

	"silvergate/internal/config"
)

// TestWithinLimitAndGuarantee checks that a limit of 0 means no limit, that a guarantee of 0 for
// one resource is ignored if there is one for the other, and that amounts may exceed a limit by
// less than the tolerance.
func TestWithinLimitAndGuarantee(t *testing.T) {
	for _, test := range []struct {
		name            string
		team            config.Team
		usage           usage
		limited         bool
		withinLimit     bool
		withinGuarantee bool
	}{
		{"no limit and no guarantee", config.Team{}, usage{CPUs: 1000, GPUs: 1000}, false, true, false},
		{"nothing used, no guarantee", config.Team{}, usage{}, false, true, false},
		{"at both limits", config.Team{CPUsMax: 10, GPUsMax: 2}, usage{CPUs: 10, GPUs: 2}, true, true, false},
		{"sums of decimal amounts at the limit", config.Team{CPUsMax: 0.3}, usage{CPUs: 0.1 + 0.2 + 1e-9}, true, true, false},
		{"over the limit of CPUs", config.Team{CPUsMax: 10, GPUsMax: 2}, usage{CPUs: 10.1, GPUs: 2}, true, false, false},
		{"over the limit of GPUs", config.Team{GPUsMax: 2}, usage{CPUs: 1000, GPUs: 2.1}, true, false, false},
		{"at both guarantees", config.Team{CPUs: 10, GPUs: 2}, usage{CPUs: 10, GPUs: 2}, false, true, true},
		{"over the guarantee of CPUs", config.Team{CPUs: 10, GPUs: 2}, usage{CPUs: 10.1, GPUs: 2}, false, true, false},
		{"over the guarantee of GPUs", config.Team{CPUs: 10, GPUs: 2}, usage{CPUs: 10, GPUs: 2.1}, false, true, false},
		{"a guarantee of GPUs alone", config.Team{GPUs: 2}, usage{CPUs: 1000, GPUs: 2}, false, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			team := team{cfg: &test.team}
			if got := team.hasLimit(); got != test.limited {
				t.Errorf("hasLimit: %v, want %v", got, test.limited)
			}
			if got := team.withinLimit(test.usage); got != test.withinLimit {
				t.Errorf("withinLimit: %v, want %v", got, test.withinLimit)
			}
			if got := team.withinGuarantee(test.usage); got != test.withinGuarantee {
				t.Errorf("withinGuarantee: %v, want %v", got, test.withinGuarantee)
			}
		})
	}
}
