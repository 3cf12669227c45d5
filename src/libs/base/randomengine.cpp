#include "base/randomengine.h"

#include "base/hashing.h"

namespace ebony::base {

RandomEngine::result_type RandomEngine::operator()() {
  State_ += 0x9e3779b97f4a7c15ULL;
  return mixBits(State_);
}

std::uint64_t RandomEngine::below(std::uint64_t Limit) {
  __extension__ using Wide = unsigned __int128;
  return static_cast<std::uint64_t>((static_cast<Wide>((*this)()) * Limit) >>
                                    64U);
}

double RandomEngine::unit() {
  constexpr double Scale = 1.0 / 9007199254740992.0;
  return static_cast<double>((*this)() >> 11U) * Scale;
}

} // namespace ebony::base
