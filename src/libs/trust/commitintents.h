#ifndef EBONY_TRUST_COMMITINTENTS_H
#define EBONY_TRUST_COMMITINTENTS_H

#include "trust/writerpromise.h"

#include <map>
#include <optional>

namespace ebony::trust {

/// Open commit intents known to one possible writer: commits that it is making
/// itself or was notified of. They limit the promises that it can give. An
/// intent is closed once a revision above its base is applied, because the
/// commit either was that revision or conflicted with it.
class CommitIntents {
public:
  explicit CommitIntents(base::VmIdentity Self);

  /// Records that a commit on top of \p Base may be sent from \p Now on.
  void recordIntent(config::Revision Base, base::TimePoint Now);

  /// Records that revision \p Number is applied and closes the intents whose
  /// base is below it.
  void recordApplied(config::Revision Number);

  /// Returns the promise at \p Now; the oldest open intent limits its time.
  WriterPromise promise(base::TimePoint Now) const;

  /// Returns the time of the oldest open intent, or std::nullopt if none is
  /// open.
  std::optional<base::TimePoint> oldestOpen() const;

private:
  base::VmIdentity Self_;
  config::Revision Applied_ = 0;
  std::map<config::Revision, base::TimePoint> Open_;
};

} // namespace ebony::trust

#endif
