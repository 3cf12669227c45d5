#include "traffic/cacheestimator.h"

namespace ebony::traffic {

namespace {

// Pairs of object and upstream that are remembered, a power of two.
constexpr std::size_t Entries = 4096;

// Weight of one response in a smoothed share.
constexpr double ResponseWeight = 0.05;

// Ages double from class to class; the last class is for pairs that are not
// remembered.
constexpr double FirstAgeSeconds = 0.5;

// Shares before the first responses.
constexpr double InitialShareFirst = 0.9;
constexpr double InitialShareUsed = 0.9;
constexpr double InitialShareLossPerClass = 0.08;
constexpr double InitialShareUnused = 0.1;

} // namespace

CacheEstimator::CacheEstimator() : LastUses_(Entries) {
  Shares_[1].fill(InitialShareFirst);
  for (std::size_t Class = 0; Class < AgeClasses - 1; ++Class)
    Shares_[0][Class] = InitialShareUsed -
                        InitialShareLossPerClass * static_cast<double>(Class);
  Shares_[0][AgeClasses - 1] = InitialShareUnused;
}

double CacheEstimator::probability(std::uint64_t Key, bool IsFirst,
                                   base::TimePoint Now) const {
  return Shares_[IsFirst ? 1 : 0][ageClass(Key, Now)];
}

void CacheEstimator::record(std::uint64_t Key, bool IsFirst, bool WasCached,
                            base::TimePoint Now) {
  double &Share = Shares_[IsFirst ? 1 : 0][ageClass(Key, Now)];
  Share += ((WasCached ? 1.0 : 0.0) - Share) * ResponseWeight;
  LastUses_[Key % Entries] = {Key, Now};
}

std::size_t CacheEstimator::ageClass(std::uint64_t Key,
                                     base::TimePoint Now) const {
  const LastUse &Last = LastUses_[Key % Entries];
  if (Last.Key_ != Key)
    return AgeClasses - 1;
  const double Seconds = base::toSeconds(Now - Last.At_);
  std::size_t Class = 0;
  for (double Bound = FirstAgeSeconds;
       Class < AgeClasses - 2 && Seconds >= Bound; Bound *= 2)
    ++Class;
  return Class;
}

} // namespace ebony::traffic
