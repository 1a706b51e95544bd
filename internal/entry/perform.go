package entry

import (
	"context"
	"fmt"
	"time"

	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/version/cell"
)

// perform carries out effects. Orders are sent by goroutines of their own.
func (l *leadership) perform(ctx context.Context, effects cell.Effects) {
	if effects.Write != nil {
		l.writer.add(*effects.Write)
	}
	for _, order := range effects.Starts {
		if session := l.sessions[order.Worker]; session != nil {
			go session.Start(ctx, order)
		}
	}
	for _, order := range effects.Stops {
		l.stop(ctx, order)
	}
	for _, order := range effects.Paces {
		l.setPace(ctx, order)
	}
	for _, ack := range effects.Acks {
		if session := l.sessions[ack.Worker]; session != nil {
			session.Seen(ack.Born, ack.Number)
		}
	}
	for _, order := range effects.Advice {
		go l.advise(ctx, order)
	}
	for _, worker := range effects.Settle {
		if session := l.sessions[worker]; session != nil {
			session.Settle()
		}
	}
	for _, request := range effects.Done {
		l.answer(request)
	}
	l.log(effects)
}

// advise asks the advice service and hands its answer to the cell.
func (l *leadership) advise(ctx context.Context, order cell.AdviceOrder) {
	result := cell.AdviceResult{Step: order.Step, Asked: order.Workers, Sent: time.Now()}
	if l.entry.options.Advice == nil {
		result.Failed = true
		l.post(func(now time.Time, c *cell.Cell) { c.Advised(now, result) })
		return
	}
	limit := order.Terms.CallTime(len(order.Workers)) + adviceMargin
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := l.entry.options.Advice.Ask(call, order.Step, order.Workers)
	if err != nil {
		result.Failed = true
		if ctx.Err() == nil {
			l.entry.options.Journal.Retry("advice on "+stepName(order.Step), err)
		}
	}
	result.Tickets = answer.Tickets
	// Counted from before the tickets were given, so that none is used too long.
	result.ValidUntil = result.Sent.Add(answer.Valid)
	l.post(func(now time.Time, c *cell.Cell) { c.Advised(now, result) })
}

// adviceMargin is what a call to the advice service may take beyond its own
// time: the call before it, and two round trips between regions.
const adviceMargin = 2 * time.Second

func (l *leadership) stop(ctx context.Context, order cell.StopOrder) {
	session := l.sessions[order.Worker]
	if session == nil {
		return
	}
	go func() {
		if err := session.Stop(ctx, order); err != nil && ctx.Err() == nil {
			l.entry.options.Journal.Retry("stop of "+taskName(order.Task), err)
		}
	}()
}

func (l *leadership) setPace(ctx context.Context, order cell.PaceOrder) {
	session := l.sessions[order.Worker]
	if session == nil {
		return
	}
	go func() {
		if err := session.Pace(ctx, order); err != nil && ctx.Err() == nil {
			l.post(func(now time.Time, c *cell.Cell) { c.PaceFailed(order) })
		}
	}()
}

func (l *leadership) log(effects cell.Effects) {
	o := l.entry.options
	o.Metrics.Orders(len(effects.Starts), len(effects.Stops), len(effects.Paces))
	for _, order := range effects.Starts {
		o.Journal.Task(logging.TaskLine{Event: "start ordered", Task: taskName(order.Task), Run: order.Run, Worker: string(order.Worker), Epoch: l.term.Epoch})
	}
	for _, note := range effects.Notes {
		o.Journal.Task(logging.TaskLine{Event: note.Event, Task: noteName(note), Run: note.Run, Worker: string(note.Worker), Outcome: note.Outcome, Age: note.Age, Epoch: l.term.Epoch})
	}
}

// noteName returns the task or the job that a note is about.
func noteName(note cell.Note) string {
	if note.Run == 0 {
		return string(note.Task.Job)
	}
	return taskName(note.Task)
}

func stepName(id cell.StepID) string {
	return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step)
}

func taskName(id cell.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index)
}
