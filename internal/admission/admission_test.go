package admission_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sequoiapick/sequoiapick/internal/admission"
	"github.com/sequoiapick/sequoiapick/pkg/account"
	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

func TestLargeAccountDoesNotBlockSmallOne(t *testing.T) {
	controller := &admission.Controller{Clock: clockwork.NewFakeClock(), MaxInFlight: 100}
	large, small := account.Account{Name: "large"}, account.Account{Name: "small"}
	if err := controller.Admit(small); err != nil {
		t.Fatal(err)
	}
	admitted := 0
	for range 200 {
		if controller.Admit(large) == nil {
			admitted++
		}
	}
	if admitted != 74 {
		t.Errorf("%d of 100 requests of the large account were admitted, want 74", admitted)
	}
	for range 20 {
		if err := controller.Admit(small); err != nil {
			t.Fatalf("the small account was rejected: %v", err)
		}
	}
}

func TestRequestOverAccountLimitIsRejected(t *testing.T) {
	clock := clockwork.NewFakeClock()
	controller := &admission.Controller{Clock: clock, MaxInFlight: 100}
	bounded := account.Account{Name: "bounded", MaxInFlight: 1}
	slow := account.Account{Name: "slow", RequestsPerSecond: 1}
	for _, a := range []account.Account{bounded, slow} {
		if err := controller.Admit(a); err != nil {
			t.Fatal(err)
		}
		if err := controller.Admit(a); problem.Of(err) != problem.OverLimit {
			t.Errorf("%s: got %v, want OverLimit", a.Name, err)
		}
		controller.Release(a.Name)
		clock.Advance(time.Second)
		if err := controller.Admit(a); err != nil {
			t.Errorf("%s: %v", a.Name, err)
		}
	}
}

func TestInfeasibleDeadlineIsRejected(t *testing.T) {
	clock := clockwork.NewFakeClock()
	controller := &admission.Controller{Clock: clock}
	stages := []time.Duration{time.Second, 2 * time.Second}
	if err := controller.CheckDeadline(clock.Now().Add(4*time.Second), stages); err != nil {
		t.Error(err)
	}
	if err := controller.CheckDeadline(clock.Now().Add(2*time.Second), stages); problem.Of(err) != problem.Infeasible {
		t.Errorf("got %v, want Infeasible", err)
	}
}
