package jobpeer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/internal/jobpeer"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against announcements at a peak that are refused because the text of their jobs could be read as many fields.
func TestJobsWithLongPayloadsFitTheDoorOfEntries(t *testing.T) {
	const announcements = 64
	is := is.New(t)
	budget, now := door.NewBudget(door.LimitsOf(184<<20, 4100).PeerBytes, announcements), time.Unix(0, 0)
	for range announcements {
		body, err := proto.Marshal(&jobv1.AnnounceRequest{Job: wire.Job(&fleet.Job{Payload: strings.Repeat("x", 4000), Steps: make([]fleet.Step, 20)})})
		is.NoErr(err)
		r := httptest.NewRequest(http.MethodPost, jobv1connect.JobPeerServiceAnnounceProcedure, nil)
		r.Header.Set("Content-Type", "application/proto")
		scanner, err := jobpeer.NewScanner(r)
		is.NoErr(err)
		is.True(scanner.Cost(body) >= 20<<9) // its steps are counted
		share, err := budget.Take(now, fleet.Bytes(len(body)), func() {})
		is.NoErr(err)
		is.NoErr(share.Complete())
		is.NoErr(share.Grow(now, scanner.Cost(body)))
	}
}
