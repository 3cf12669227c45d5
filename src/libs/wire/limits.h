#ifndef EBONY_WIRE_LIMITS_H
#define EBONY_WIRE_LIMITS_H

#include <thrift/TConfiguration.h>

#include <memory>

namespace ebony::wire {

/// Returns the limits on messages from a peer. A larger frame closes the
/// connection.
inline std::shared_ptr<apache::thrift::TConfiguration> wireConfiguration() {
  constexpr int MaxMessageBytes = 64 << 20;
  constexpr int MaxFrameBytes = 16 << 20;
  constexpr int MaxDepth = 16;
  return std::make_shared<apache::thrift::TConfiguration>(
      MaxMessageBytes, MaxFrameBytes, MaxDepth);
}

} // namespace ebony::wire

#endif
