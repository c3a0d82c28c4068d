package jobpeer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a message that ends a process, or names an order that no endpoint may get.
func FuzzRelayMessages(f *testing.F) {
	task := fleet.TaskID{Job: "j", Occurrence: 1, Step: 1, Task: 1}
	batch, err := proto.Marshal(encodeBatch(holder.RelayBatch{SentAfter: time.Second, Orders: []holder.RelayOrder{
		{Number: 1, Order: shard.Order{Kind: shard.OrderStart, Task: task, Run: 1}}, {Number: 2, Order: shard.Order{Kind: shard.OrderHold, Wait: time.Second}},
	}}))
	if err != nil {
		f.Fatal(err)
	}
	report, err := proto.Marshal(encodeReport(holder.RelayReport{Results: []holder.RelayResult{{Number: 1, Result: shard.Result{
		Answer: shard.AnswerDone, Running: []shard.ListedRun{{Task: task, Run: 1}}, Ends: []shard.ListedEnd{{Number: 1, Task: task, Run: 1}},
	}}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(batch)
	f.Add(report)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if b, err := decodeBatch(raw); err == nil {
			for _, o := range b.Orders {
				switch o.Order.Kind {
				case shard.OrderHold, shard.OrderStart, shard.OrderStop, shard.OrderPace:
				default:
					t.Errorf("order of kind %q", o.Order.Kind)
				}
				if o.Age < 0 || o.Order.Wait < 0 || o.Order.Deadline < 0 {
					t.Error("negative time")
				}
			}
		}
		if r, err := decodeReport(raw); err == nil {
			for _, result := range r.Results {
				if result.Result.Answer == "" || result.Result.Clock < 0 {
					t.Error("result without an answer, or with a negative clock")
				}
			}
		}
	})
}
