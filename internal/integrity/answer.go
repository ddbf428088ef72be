package integrity

import (
	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// CheckAnswer returns nil if answer is a complete, uncorrupted answer to request from the
// snapshot that the request is pinned to.
func CheckAnswer(request *pb.RunRequest, answer *pb.RunResponse) *domain.Error {
	mismatch := func(format string, args ...any) *domain.Error {
		return domain.Errorf(domain.FateUnknown, domain.CodeCorrupt, "check answer", format, args...)
	}

	switch {
	case answer.GetQueryId() != request.GetQueryId():
		return mismatch("answer is for query %q, not %q", answer.GetQueryId(), request.GetQueryId())
	case answer.GetAttempt() != request.GetAttempt():
		return mismatch("answer is for attempt %d, not %d", answer.GetAttempt(), request.GetAttempt())
	case answer.GetShard() != request.GetShard():
		return mismatch("answer is for shard %d, not %d", answer.GetShard(), request.GetShard())
	case answer.GetSnapshot().GetIndexVersion() != request.GetSnapshot().GetIndexVersion(),
		answer.GetSnapshot().GetPartitionMapVersion() != request.GetSnapshot().GetPartitionMapVersion():
		return mismatch("answer is from snapshot %v, not %v", answer.GetSnapshot(), request.GetSnapshot())
	case answer.GetChecksum() != RunChecksum(answer):
		return mismatch("checksum of the answer doesn't match its content")
	}

	return nil
}
