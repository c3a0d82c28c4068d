package peer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/peer"
	peerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/peer/v1"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
	"google.golang.org/protobuf/types/known/timestamppb"
)

func report(services int) *peerv1.Frame {
	m := &peerv1.Report{
		TableRevision: 123456789, ConfigRevision: 1000000, ConfigSince: timestamppb.Now(), AcknowledgedRevision: 123456789, Sequence: 1 << 24,
	}
	for i := range services {
		m.Services = append(m.Services, &peerv1.ServiceLoad{Service: fmt.Sprintf("pool-of-a-service-%03d", i), QueuedNormal: 100, Running: 64, WantedSlots: 8})
	}
	return &peerv1.Frame{Message: &peerv1.Frame_Report{Report: m}}
}

// BenchmarkCapacityReport measures the reports that an entry sends per second, every 100 ms to each peer
// and encoded for each link, without the headers of QUIC, UDP and IP.
func BenchmarkCapacityReport(b *testing.B) {
	const perSecond = 10
	for _, entries := range []int{8, 64, 128} {
		for _, services := range []int{0, 25, 394} {
			b.Run(fmt.Sprintf("entries-%d/services-%d", entries, services), func(b *testing.B) {
				is, f, bytes := is.New(b), report(services), 0
				links := min(entries-1, peer.MaxPeers)
				for b.Loop() {
					bytes = 0
					for range perSecond * links {
						data, err := peer.EncodeFrame(f)
						is.NoErr(err)
						bytes += len(data)
					}
				}
				b.ReportMetric(float64(bytes), "bytes/s")
				b.ReportMetric(float64(perSecond*links), "frames/s")
			})
		}
	}
}

// BenchmarkCapacityRowsFrame measures the frames that carry VM rows, from a single row to the rows of a fleet for an entry
// that starts.
func BenchmarkCapacityRowsFrame(b *testing.B) {
	for _, rows := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("rows-%d", rows), func(b *testing.B) {
			is, m, size := is.New(b), &peerv1.Rows{Revision: 123456789, After: 123456788, History: "history-1"}, 0
			for i := range rows {
				m.Rows = append(m.Rows, &platformv1.Row{Key: fmt.Sprintf("vm/vm-region-0-%05d", i), Value: make([]byte, 190), Version: 123456789})
			}
			for b.Loop() {
				data, err := peer.EncodeFrame(&peerv1.Frame{Message: &peerv1.Frame_Rows{Rows: m}})
				is.NoErr(err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(size)/float64(fleet.Bytes(rows)), "bytes/row")
		})
	}
}
