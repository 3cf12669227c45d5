#ifndef EBONY_WIRE_WIRESERVER_H
#define EBONY_WIRE_WIRESERVER_H

#include "wire/endpoint.h"

#include <thrift/TProcessor.h>

#include <cstddef>
#include <memory>

namespace ebony::wire {

/// Serves one Thrift processor over framed TCP on one address.
class WireServer {
public:
  /// Accepts at most \p MaxConnections connections at once. A further one takes
  /// the place of the least active.
  WireServer(const Endpoint &Listen,
             const std::shared_ptr<apache::thrift::TProcessor> &Processor,
             std::size_t MaxConnections);
  ~WireServer();

  /// Binds the address and serves requests in background threads. Throws
  /// apache::thrift::TException when the address cannot be bound.
  void start();

  /// Closes the listener and all connections and joins the threads.
  void stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace ebony::wire

#endif
