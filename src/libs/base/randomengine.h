#ifndef EBONY_BASE_RANDOMENGINE_H
#define EBONY_BASE_RANDOMENGINE_H

#include <cstdint>

namespace ebony::base {

/// Seeded random numbers with the same sequence on every platform
/// (splitmix64). Satisfies UniformRandomBitGenerator. Not for secrets.
class RandomEngine {
public:
  using result_type = std::uint64_t;

  explicit RandomEngine(std::uint64_t Seed) : State_(Seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return UINT64_MAX; }

  result_type operator()();

  /// Number from 0 to \p Limit - 1; \p Limit is at least 1.
  std::uint64_t below(std::uint64_t Limit);

  /// Number from 0 up to, but not including, 1.
  double unit();

  /// True with probability \p Probability.
  bool chance(double Probability) { return unit() < Probability; }

private:
  std::uint64_t State_;
};

} // namespace ebony::base

#endif
