package scheduler

import (
	"time"

	"github.com/sequoiapick/sequoiapick/internal/cluster/clusterpb"
	"github.com/sequoiapick/sequoiapick/internal/dispatch"
	"github.com/sequoiapick/sequoiapick/internal/placement"
)

// encodeCompleted returns the messages for completed pieces, with the times as ages in
// milliseconds at now.
func encodeCompleted(now time.Time, completed []dispatch.CompletedPiece) []*clusterpb.Done {
	list := make([]*clusterpb.Done, 0, len(completed))
	for _, d := range completed {
		list = append(list, &clusterpb.Done{
			Stage: int32(d.Stage), Index: int32(d.Index), Handle: d.Handle, Target: d.Target, AgeMillis: now.Sub(d.CompletedAt).Milliseconds(),
		})
	}
	return list
}

// decodeCompleted is the inverse of encodeCompleted.
func decodeCompleted(now time.Time, done []*clusterpb.Done) []dispatch.CompletedPiece {
	list := make([]dispatch.CompletedPiece, 0, len(done))
	for _, d := range done {
		list = append(list, dispatch.CompletedPiece{
			Stage:       int(d.GetStage()),
			Index:       int(d.GetIndex()),
			Handle:      d.GetHandle(),
			Target:      d.GetTarget(),
			CompletedAt: now.Add(-time.Duration(d.GetAgeMillis()) * time.Millisecond),
		})
	}
	return list
}

// encodeRunning returns the messages for running pieces.
func encodeRunning(running []dispatch.RunningPiece) []*clusterpb.Running {
	list := make([]*clusterpb.Running, 0, len(running))
	for _, r := range running {
		list = append(list, &clusterpb.Running{Stage: int32(r.Stage), Index: int32(r.Index), Target: r.Target, LeftMillis: r.Remaining.Milliseconds()})
	}
	return list
}

// decodeRunning is the inverse of encodeRunning.
func decodeRunning(running []*clusterpb.Running) []dispatch.RunningPiece {
	list := make([]dispatch.RunningPiece, 0, len(running))
	for _, r := range running {
		list = append(list, dispatch.RunningPiece{
			Stage:     int(r.GetStage()),
			Index:     int(r.GetIndex()),
			Target:    r.GetTarget(),
			Remaining: time.Duration(r.GetLeftMillis()) * time.Millisecond,
		})
	}
	return list
}

// encodeReleased converts the indices of released stages for a message.
func encodeReleased(stages []int) []int32 {
	list := make([]int32, 0, len(stages))
	for _, stage := range stages {
		list = append(list, int32(stage))
	}
	return list
}

// decodeReleased is the inverse of encodeReleased.
func decodeReleased(stages []int32) []int {
	list := make([]int, 0, len(stages))
	for _, stage := range stages {
		list = append(list, int(stage))
	}
	return list
}

// encodeJob returns the message that submits a job, with the times as milliseconds from now.
func encodeJob(now time.Time, j Job) *clusterpb.Submit {
	m := &clusterpb.Submit{
		ID:             j.ID,
		DataCentre:     j.DataCentre,
		Key:            j.Key,
		AimMillis:      j.SoftDeadline.Sub(now).Milliseconds(),
		DeadlineMillis: j.Deadline.Sub(now).Milliseconds(),
		Priority:       int64(j.Priority),
		Worth:          j.Value,
		Account:        j.Account,
		Route:          j.Route,
		Plain:          j.Plain,
		Generation: &clusterpb.Generation{
			Service:      j.Generation.Service,
			Model:        j.Generation.Model,
			PromptTokens: int64(j.Generation.PromptTokens),
			OutputTokens: int64(j.Generation.OutputTokens),
		},
	}
	for _, st := range j.Stages {
		stage := &clusterpb.Stage{Service: st.Service, Kind: st.Kind, Pieces: int32(st.Pieces), ResultBytes: st.ResultBytes}
		for _, before := range st.After {
			stage.After = append(stage.After, int32(before))
		}
		m.Stages = append(m.Stages, stage)
	}
	for _, part := range j.Generation.Parts {
		m.Generation.Parts = append(m.Generation.Parts, &clusterpb.Part{ID: part.ID, Tokens: int64(part.Tokens)})
	}
	m.Done = encodeCompleted(now, j.Completed)
	m.Running = encodeRunning(j.Running)
	m.Assigned, m.Began = j.Assigned, j.AnswerStarted
	for id := range j.Generation.Exclude {
		m.Generation.Excluded = append(m.Generation.Excluded, id)
	}
	return m
}

// decodeJob is the inverse of encodeJob. It ignores dependencies of a stage on itself or a later
// one, which dispatch.Stage.After doesn't allow.
func decodeJob(now time.Time, m *clusterpb.Submit) Job {
	g := m.GetGeneration()
	j := Job{
		ID:           m.GetID(),
		DataCentre:   m.GetDataCentre(),
		Key:          m.GetKey(),
		SoftDeadline: now.Add(time.Duration(m.GetAimMillis()) * time.Millisecond),
		Deadline:     now.Add(time.Duration(m.GetDeadlineMillis()) * time.Millisecond),
		Priority:     int(m.GetPriority()),
		Value:        m.GetWorth(),
		Account:      m.GetAccount(),
		Route:        m.GetRoute(),
		Plain:        m.GetPlain(),
		Generation: placement.Request{
			ID:           m.GetID(),
			Service:      g.GetService(),
			Model:        g.GetModel(),
			PromptTokens: int(g.GetPromptTokens()),
			OutputTokens: int(g.GetOutputTokens()),
			DataCentre:   m.GetDataCentre(),
			Exclude:      map[string]bool{},
		},
	}
	for i, st := range m.GetStages() {
		stage := dispatch.Stage{Service: st.GetService(), Kind: st.GetKind(), Pieces: int(st.GetPieces()), ResultBytes: st.GetResultBytes()}
		for _, before := range st.GetAfter() {
			if before >= 0 && int(before) < i {
				stage.After = append(stage.After, int(before))
			}
		}
		j.Stages = append(j.Stages, stage)
	}
	for _, part := range g.GetParts() {
		j.Generation.Parts = append(j.Generation.Parts, placement.Part{ID: part.GetID(), Tokens: int(part.GetTokens())})
	}
	j.Completed = decodeCompleted(now, m.GetDone())
	j.Running = decodeRunning(m.GetRunning())
	j.Assigned, j.AnswerStarted = m.GetAssigned(), m.GetBegan()
	for _, id := range g.GetExcluded() {
		j.Generation.Exclude[id] = true
	}
	return j
}
