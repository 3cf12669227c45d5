#ifndef EBONY_TRUST_COMMITINTENTS_H
#define EBONY_TRUST_COMMITINTENTS_H

#include "trust/writerpromise.h"

#include <map>
#include <optional>

namespace ebony::trust {

/// Commits that one possible writer is making or was told of, and the promises
/// that it can give besides them. An intent ends once a revision above its
/// base is applied: it was that change, or has lost against it.
class CommitIntents {
public:
  explicit CommitIntents(base::VmIdentity Self);

  /// Says that a commit on top of \p Base may be sent from \p Now on.
  void recordIntent(config::Revision Base, base::TimePoint Now);

  /// Says that \p Number is applied.
  void recordApplied(config::Revision Number);

  WriterPromise promise(base::TimePoint Now) const;

  /// Time of the oldest open intent.
  std::optional<base::TimePoint> oldestOpen() const;

private:
  base::VmIdentity Self_;
  config::Revision Applied_ = 0;
  std::map<config::Revision, base::TimePoint> Open_;
};

} // namespace ebony::trust

#endif
