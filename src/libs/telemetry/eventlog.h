#ifndef EBONY_TELEMETRY_EVENTLOG_H
#define EBONY_TELEMETRY_EVENTLOG_H

#include "base/time.h"
#include "telemetry/eventline.h"

#include <string>

namespace ebony::telemetry {

/// What a line is about; decides whether it may be left out under load.
enum class EventWeight {
  /// A request that was served as it should be.
  Routine,
  /// All else.
  Notable,
};

/// Structured log lines on a file descriptor. Never blocks: lines that the
/// reader does not take are counted and dropped, and the count is told. Used
/// by one thread.
class EventLog {
public:
  /// Lines go to \p Descriptor, which becomes non-blocking. Each line starts
  /// with the name of the process, \p Source.
  EventLog(int Descriptor, std::string Source);

  void write(const EventLine &Line, EventWeight Weight, base::TimePoint Now);

  /// Hands buffered lines to the system; to be called some times a second.
  void flush();

  std::int64_t dropped() const { return Dropped_; }

private:
  bool mayWriteRoutine(base::TimePoint Now);

  int Descriptor_;
  std::string Source_;
  std::string Pending_;
  std::int64_t Dropped_ = 0;
  std::int64_t DroppedTold_ = 0;
  std::int64_t LeftOut_ = 0;
  base::TimePoint Second_{};
  int InSecond_ = 0;
};

} // namespace ebony::telemetry

#endif
