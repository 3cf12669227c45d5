#ifndef EBONY_ENTRY_ENTRYDAEMON_H
#define EBONY_ENTRY_ENTRYDAEMON_H

#include "entry/entrysettings.h"

#include <memory>

namespace ebony::entry {

/// Creates and runs the components of ebony-entryd.
class EntryDaemon {
public:
  explicit EntryDaemon(const EntrySettings &Settings);
  ~EntryDaemon();

  /// Binds the ports and starts to follow the agent. Throws Poco::Exception
  /// when a port cannot be bound.
  void start();

  /// Shuts down gracefully: refuses new requests as not run and waits for
  /// requests in flight.
  void stop();

private:
  class Implementation;
  EntrySettings Settings_;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace ebony::entry

#endif
