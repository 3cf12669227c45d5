#include "quota/loantable.h"

#include <algorithm>

namespace ebony::quota {

std::int64_t LoanBook::ask(const base::VmIdentity &Lender,
                           base::TimePoint Now) {
  // A grant that comes after the lease would have lapsed is of no use.
  std::erase_if(Asked_, [&](const auto &Entry) {
    return Entry.second + Terms_.length() <= Now;
  });
  const std::int64_t Number = NextNumber_++;
  Asked_.emplace(Key{Lender, Number}, Now);
  return Number;
}

std::optional<std::int64_t> LoanBook::askRenewal(const Key &Loan,
                                                 base::TimePoint Now) {
  const auto Found = Taken_.find(Loan);
  if (Found == Taken_.end() || Found->second.LapseAt_ <= Now)
    return std::nullopt;
  Found->second.AskedAt_ = Now;
  return ++Found->second.Attempt_;
}

QuotaShare LoanBook::accept(const LoanGrant &Grant, base::TimePoint Now) {
  const Key Loan{Grant.route().from(), Grant.number()};
  if (Grant.attempt() > 0) {
    const auto Found = Taken_.find(Loan);
    if (Found != Taken_.end() && Found->second.LapseAt_ > Now &&
        Found->second.Attempt_ == Grant.attempt() && !Grant.share().isEmpty())
      Found->second.LapseAt_ = Found->second.AskedAt_ + Terms_.length();
    return {};
  }
  const auto Asked = Asked_.find(Loan);
  if (Asked == Asked_.end())
    return {};
  // The lease counts from before the request left.
  const base::TimePoint LapseAt = Asked->second + Terms_.length();
  Asked_.erase(Asked);
  if (Grant.share().isEmpty() || LapseAt <= Now)
    return {};
  Taken_.emplace(Loan, Taken{Grant.share(), LapseAt, 0, Now});
  return Grant.share();
}

std::optional<base::TimePoint> LoanBook::earliestLapse() const {
  const auto First = std::min_element(
      Taken_.begin(), Taken_.end(), [](const auto &A, const auto &B) {
        return A.second.LapseAt_ < B.second.LapseAt_;
      });
  if (First == Taken_.end())
    return std::nullopt;
  return First->second.LapseAt_;
}

void LoanBook::dropLapsed(base::TimePoint Now) {
  std::erase_if(
      Taken_, [&](const auto &Entry) { return Entry.second.LapseAt_ <= Now; });
}

QuotaShare LoanBook::borrowed(base::TimePoint Now) const {
  QuotaShare Sum;
  for (const auto &[Loan, One] : Taken_)
    if (One.LapseAt_ > Now)
      Sum = Sum + One.Share_;
  return Sum;
}

QuotaShare LoanBook::shareOut(const Key &Loan) const {
  const auto Found = Given_.find(Loan);
  return Found == Given_.end() ? QuotaShare() : Found->second.Share_;
}

void LoanBook::give(const Key &Loan, QuotaShare Share, base::TimePoint Now) {
  Given_.emplace(Loan, Given{Share, Now + Terms_.lenderWait()});
}

bool LoanBook::renew(const Key &Loan, base::TimePoint Now) {
  const auto Found = Given_.find(Loan);
  if (Found == Given_.end())
    return false;
  Found->second.ReturnAt_ = Now + Terms_.lenderWait();
  return true;
}

QuotaShare LoanBook::drop(const Key &Loan, base::TimePoint Now) {
  const auto Found = Taken_.find(Loan);
  if (Found == Taken_.end() || Found->second.LapseAt_ <= Now)
    return {};
  const QuotaShare Share = Found->second.Share_;
  Taken_.erase(Found);
  return Share;
}

QuotaShare LoanBook::takeBack(const Key &Loan) {
  const QuotaShare Share = shareOut(Loan);
  Given_.erase(Loan);
  return Share;
}

QuotaShare LoanBook::returned(base::TimePoint Now) const {
  QuotaShare Sum;
  for (const auto &[Loan, One] : Given_)
    if (One.ReturnAt_ <= Now)
      Sum = Sum + One.Share_;
  return Sum;
}

QuotaShare LoanBook::takeReturned(base::TimePoint Now) {
  const QuotaShare Sum = returned(Now);
  std::erase_if(
      Given_, [&](const auto &Entry) { return Entry.second.ReturnAt_ <= Now; });
  return Sum;
}

std::optional<base::TimePoint> LoanBook::earliestReturn() const {
  std::optional<base::TimePoint> First;
  for (const auto &[Loan, One] : Given_)
    if (!First || One.ReturnAt_ < *First)
      First = One.ReturnAt_;
  return First;
}

} // namespace ebony::quota
