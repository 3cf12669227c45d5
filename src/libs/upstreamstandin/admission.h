#ifndef EBONY_UPSTREAMSTANDIN_ADMISSION_H
#define EBONY_UPSTREAMSTANDIN_ADMISSION_H

#include "upstreamstandin/run.h"

namespace ebony::upstreamstandin {

/// Decision of a target on an arriving request.
enum class AdmissionDecision {
  Running,
  NoSlot,   ///< All slots are in use; the sender exceeded the slot limit.
  Shed,     ///< Refused by an injected fault.
  Draining, ///< Takes no new work.
  Down      ///< Drops the connection.
};

/// Result of an admission; the run is set only for AdmissionDecision::Running.
struct Admission {
  AdmissionDecision Decision_ = AdmissionDecision::Down;
  Run::Ptr Run_;
};

} // namespace ebony::upstreamstandin

#endif
