#ifndef EBONY_STEER_STEERDAEMON_H
#define EBONY_STEER_STEERDAEMON_H

#include "steer/steersettings.h"

#include <memory>

namespace ebony::steer {

/// Creates and runs the components of ebony-steerd.
class SteerDaemon {
public:
  explicit SteerDaemon(const SteerSettings &Settings);
  ~SteerDaemon();

  /// Binds the port and starts to follow the agent. Throws Poco::Exception
  /// when the port cannot be bound.
  void start();

  /// Shuts down gracefully after the lookups in flight have been answered.
  void stop();

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace ebony::steer

#endif
