#ifndef EBONY_WIRE_LIMITS_H
#define EBONY_WIRE_LIMITS_H

#include <thrift/TConfiguration.h>

#include <memory>

namespace ebony::wire {

/// Largest frame of a reply, which may hold all records.
constexpr int MaxReplyFrameBytes = 16 << 20;

/// Largest frame of a request, which holds a few numbers and names.
constexpr int MaxRequestFrameBytes = 64 << 10;

/// Returns the limits on messages from a peer in frames of at most
/// \p MaxFrameBytes. A larger frame closes the connection.
inline std::shared_ptr<apache::thrift::TConfiguration>
wireConfiguration(int MaxFrameBytes) {
  constexpr int MaxMessageBytes = 64 << 20;
  constexpr int MaxDepth = 16;
  return std::make_shared<apache::thrift::TConfiguration>(
      MaxMessageBytes, MaxFrameBytes, MaxDepth);
}

} // namespace ebony::wire

#endif
