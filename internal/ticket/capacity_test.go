package ticket_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
)

// BenchmarkCapacityTicket measures the memory and time per ticket from issue to answer, without a body.
func BenchmarkCapacityTicket(b *testing.B) {
	for _, count := range []int{1000, 10000, 40000} {
		b.Run(fmt.Sprintf("tickets-%d", count), func(b *testing.B) {
			is, now := is.New(b), time.Unix(1e9, 0)
			book := &ticket.Book{Issuer: "entry-00-0", Incarnation: "i", Key: make([]byte, 32), Lifetime: 10 * time.Minute}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				for range count {
					verdict, id, _ := book.Redeem(now, book.Issue(now, "account-001"), "account-001")
					is.Equal(verdict, ticket.VerdictRun)
					book.End(id, request.Answered(request.AnswerStatusOK, nil))
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "bytes/ticket")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/ticket")
			runtime.KeepAlive(book)
		})
	}
}
