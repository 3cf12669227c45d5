#include "idempotency/claimbatcher.h"

#include <algorithm>
#include <utility>

namespace ebony::idempotency {

namespace {

constexpr base::Duration RetryPause = std::chrono::milliseconds(20);

} // namespace

void ClaimBatcher::add(const Claim &NewClaim, base::TimePoint Now) {
  Pending_.push_back({NewClaim, Now + Limits_.Window_, false});
}

std::optional<ClaimCall> ClaimBatcher::nextCall(base::TimePoint Now) {
  expireClaims(Now);
  if (auto Call = nextRead(Now))
    return Call;
  return nextInsert(Now);
}

std::optional<ClaimCall> ClaimBatcher::nextRead(base::TimePoint Now) {
  if (isAtLimit(ClaimCall::Kind::ReadRow))
    return std::nullopt;
  const auto Found = std::find_if(
      Pending_.begin(), Pending_.end(), [&](const PendingClaim &Pending) {
        return Pending.MustRead_ && Pending.Due_ <= Now;
      });
  if (Found == Pending_.end())
    return std::nullopt;
  std::vector<Claim> Claims = {Found->Claim_};
  Pending_.erase(Found);
  return startCall(ClaimCall::Kind::ReadRow, std::move(Claims));
}

std::optional<ClaimCall> ClaimBatcher::nextInsert(base::TimePoint Now) {
  if (isAtLimit(ClaimCall::Kind::InsertAll))
    return std::nullopt;
  const auto IsInsert = [](const PendingClaim &Pending) {
    return !Pending.MustRead_;
  };
  const auto Count = static_cast<std::size_t>(
      std::count_if(Pending_.begin(), Pending_.end(), IsInsert));
  const bool Due = std::any_of(
      Pending_.begin(), Pending_.end(), [&](const PendingClaim &Pending) {
        return IsInsert(Pending) && Pending.Due_ <= Now;
      });
  if (!Due && Count < Limits_.MaxClaims_)
    return std::nullopt;
  std::vector<Claim> Claims;
  std::vector<PendingClaim> Remaining;
  for (PendingClaim &Pending : Pending_) {
    if (IsInsert(Pending) && Claims.size() < Limits_.MaxClaims_)
      Claims.push_back(std::move(Pending.Claim_));
    else
      Remaining.push_back(std::move(Pending));
  }
  Pending_ = std::move(Remaining);
  return startCall(ClaimCall::Kind::InsertAll, std::move(Claims));
}

std::optional<base::TimePoint> ClaimBatcher::nextWakeup() const {
  std::optional<base::TimePoint> Earliest;
  const auto Consider = [&](base::TimePoint When) {
    Earliest = Earliest ? std::min(*Earliest, When) : When;
  };
  for (const PendingClaim &Pending : Pending_) {
    if (!isAtLimit(Pending.MustRead_ ? ClaimCall::Kind::ReadRow
                                     : ClaimCall::Kind::InsertAll))
      Consider(Pending.Due_);
    Consider(Pending.Claim_.Deadline_);
  }
  return Earliest;
}

void ClaimBatcher::recordCommitted(std::uint64_t Id) {
  for (const Claim &Current : finishCall(Id).Claims_)
    Results_.push_back({Current.RowKey_, Current.Row_});
}

// The transaction had no effect, so the claims without a conflict are inserted
// again at once.
void ClaimBatcher::recordConflicts(std::uint64_t Id,
                                   const std::vector<std::string> &RowKeys,
                                   base::TimePoint Now) {
  for (Claim &Current : finishCall(Id).Claims_) {
    const bool Conflicts = std::find(RowKeys.begin(), RowKeys.end(),
                                     Current.RowKey_) != RowKeys.end();
    Pending_.push_back({std::move(Current), Now, Conflicts});
  }
}

// If the row is absent, an insertion that is still in flight may yet create it.
// Inserting the same claim again is the only safe next step, because both
// insertions write the same row.
void ClaimBatcher::recordRead(std::uint64_t Id,
                              const std::optional<ClaimRow> &Row,
                              base::TimePoint Now) {
  for (Claim &Current : finishCall(Id).Claims_) {
    if (Row)
      Results_.push_back({Current.RowKey_, Row});
    else
      Pending_.push_back({std::move(Current), Now, false});
  }
}

void ClaimBatcher::recordFailure(std::uint64_t Id, base::TimePoint Now) {
  for (Claim &Current : finishCall(Id).Claims_)
    Pending_.push_back({std::move(Current), Now + RetryPause, true});
}

std::vector<ClaimResult> ClaimBatcher::takeResults(base::TimePoint Now) {
  expireClaims(Now);
  return std::exchange(Results_, {});
}

ClaimCall ClaimBatcher::startCall(ClaimCall::Kind Kind,
                                  std::vector<Claim> Claims) {
  ClaimCall Call{NextId_++, Kind, std::move(Claims)};
  InFlight_.emplace(Call.Id_, Call);
  return Call;
}

ClaimCall ClaimBatcher::finishCall(std::uint64_t Id) {
  const auto Found = InFlight_.find(Id);
  if (Found == InFlight_.end())
    return {};
  ClaimCall Call = std::move(Found->second);
  InFlight_.erase(Found);
  return Call;
}

bool ClaimBatcher::isAtLimit(ClaimCall::Kind Kind) const {
  const auto Count = std::count_if(
      InFlight_.begin(), InFlight_.end(),
      [&](const auto &InFlight) { return InFlight.second.Kind_ == Kind; });
  const std::size_t Limit = Kind == ClaimCall::Kind::ReadRow
                                ? Limits_.MaxReads_
                                : Limits_.MaxInserts_;
  return static_cast<std::size_t>(Count) >= Limit;
}

void ClaimBatcher::expireClaims(base::TimePoint Now) {
  const auto IsExpired = [&](const PendingClaim &Pending) {
    return Pending.Claim_.Deadline_ <= Now;
  };
  for (const PendingClaim &Pending : Pending_)
    if (IsExpired(Pending))
      Results_.push_back({Pending.Claim_.RowKey_, std::nullopt});
  std::erase_if(Pending_, IsExpired);
}

} // namespace ebony::idempotency
