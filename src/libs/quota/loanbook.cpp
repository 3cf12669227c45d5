#include "quota/loanbook.h"

#include <algorithm>

namespace ebony::quota {

std::int64_t LoanBook::addRequest(const base::VmIdentity &Lender,
                                  base::TimePoint Now) {
  // A grant that arrives after its lease would have expired is useless.
  std::erase_if(PendingRequests_, [&](const auto &Entry) {
    return Entry.second + Terms_.leaseDuration() <= Now;
  });
  const std::int64_t Number = NextNumber_++;
  PendingRequests_.emplace(Key{Lender, Number}, Now);
  return Number;
}

std::optional<std::int64_t> LoanBook::requestRenewal(const Key &Loan,
                                                     base::TimePoint Now) {
  const auto Found = Borrowed_.find(Loan);
  if (Found == Borrowed_.end() || Found->second.ExpiresAt_ <= Now)
    return std::nullopt;
  Found->second.RequestedAt_ = Now;
  return ++Found->second.Attempt_;
}

QuotaShare LoanBook::applyGrant(const LoanGrant &Grant, base::TimePoint Now) {
  const Key Loan{Grant.route().from(), Grant.number()};
  if (Grant.attempt() > 0) {
    const auto Found = Borrowed_.find(Loan);
    if (Found != Borrowed_.end() && Found->second.ExpiresAt_ > Now &&
        Found->second.Attempt_ == Grant.attempt() && !Grant.share().isEmpty())
      Found->second.ExpiresAt_ =
          Found->second.RequestedAt_ + Terms_.leaseDuration();
    return {};
  }
  const auto Request = PendingRequests_.find(Loan);
  if (Request == PendingRequests_.end())
    return {};
  // The lease starts when the request was sent, which is before the lender's
  // period starts.
  const base::TimePoint ExpiresAt = Request->second + Terms_.leaseDuration();
  PendingRequests_.erase(Request);
  if (Grant.share().isEmpty() || ExpiresAt <= Now)
    return {};
  Borrowed_.emplace(Loan, BorrowedLoan{Grant.share(), ExpiresAt, 0, Now});
  return Grant.share();
}

std::optional<base::TimePoint> LoanBook::earliestExpiry() const {
  const auto First = std::min_element(
      Borrowed_.begin(), Borrowed_.end(), [](const auto &A, const auto &B) {
        return A.second.ExpiresAt_ < B.second.ExpiresAt_;
      });
  if (First == Borrowed_.end())
    return std::nullopt;
  return First->second.ExpiresAt_;
}

void LoanBook::removeExpired(base::TimePoint Now) {
  std::erase_if(Borrowed_, [&](const auto &Entry) {
    return Entry.second.ExpiresAt_ <= Now;
  });
}

QuotaShare LoanBook::borrowedShare(base::TimePoint Now) const {
  QuotaShare Sum;
  for (const auto &[Loan, Borrowed] : Borrowed_)
    if (Borrowed.ExpiresAt_ > Now)
      Sum = Sum + Borrowed.Share_;
  return Sum;
}

QuotaShare LoanBook::lentShare(const Key &Loan) const {
  const auto Found = Lent_.find(Loan);
  return Found == Lent_.end() ? QuotaShare() : Found->second.Share_;
}

void LoanBook::addLent(const Key &Loan, QuotaShare Share, base::TimePoint Now) {
  Lent_.emplace(Loan, LentLoan{Share, Now + Terms_.reclaimDelay()});
}

bool LoanBook::extendLent(const Key &Loan, base::TimePoint Now) {
  const auto Found = Lent_.find(Loan);
  if (Found == Lent_.end())
    return false;
  Found->second.ReclaimAt_ = Now + Terms_.reclaimDelay();
  return true;
}

QuotaShare LoanBook::removeBorrowed(const Key &Loan, base::TimePoint Now) {
  const auto Found = Borrowed_.find(Loan);
  if (Found == Borrowed_.end() || Found->second.ExpiresAt_ <= Now)
    return {};
  const QuotaShare Share = Found->second.Share_;
  Borrowed_.erase(Found);
  return Share;
}

QuotaShare LoanBook::removeLent(const Key &Loan) {
  const QuotaShare Share = lentShare(Loan);
  Lent_.erase(Loan);
  return Share;
}

QuotaShare LoanBook::reclaimable(base::TimePoint Now) const {
  QuotaShare Sum;
  for (const auto &[Loan, Lent] : Lent_)
    if (Lent.ReclaimAt_ <= Now)
      Sum = Sum + Lent.Share_;
  return Sum;
}

QuotaShare LoanBook::removeReclaimable(base::TimePoint Now) {
  const QuotaShare Sum = reclaimable(Now);
  std::erase_if(
      Lent_, [&](const auto &Entry) { return Entry.second.ReclaimAt_ <= Now; });
  return Sum;
}

std::optional<base::TimePoint> LoanBook::earliestReclaim() const {
  std::optional<base::TimePoint> First;
  for (const auto &[Loan, Lent] : Lent_)
    if (!First || Lent.ReclaimAt_ < *First)
      First = Lent.ReclaimAt_;
  return First;
}

} // namespace ebony::quota
