#ifndef EBONY_IDEMPOTENCY_SUBMISSIONENTRY_H
#define EBONY_IDEMPOTENCY_SUBMISSIONENTRY_H

#include "idempotency/entrysnapshot.h"

#include <boost/intrusive/list.hpp>

#include <utility>

namespace ebony::idempotency {

/// One remembered submission; linked into its shard's list of kept answers
/// while it keeps one.
class SubmissionEntry
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  /// \p Facts come without an answer; see setAnswer().
  explicit SubmissionEntry(EntrySnapshot Snapshot)
      : Snapshot_(std::move(Snapshot)) {}
  ~SubmissionEntry() { discardAnswer(); }
  SubmissionEntry(const SubmissionEntry &) = delete;
  SubmissionEntry &operator=(const SubmissionEntry &) = delete;

  const EntrySnapshot &snapshot() const { return Snapshot_; }
  EntrySnapshot &snapshot() { return Snapshot_; }

  /// True once nothing can change it but a new submission.
  bool isFinished() const {
    return Snapshot_.State_ != SubmissionState::Claiming &&
           Snapshot_.State_ != SubmissionState::Running;
  }

  /// Keeps \p Answer and counts its bytes in \p StoredBytes, which outlives
  /// this object.
  void setAnswer(StoredAnswerPtr Answer, std::size_t &StoredBytes) {
    Snapshot_.Answer_ = std::move(Answer);
    StoredBytes_ = &StoredBytes;
    StoredBytes += Snapshot_.Answer_->bytes();
  }

  /// Forgets the answer, but not that the submission ran.
  void discardAnswer() {
    if (Snapshot_.Answer_ == nullptr)
      return;
    *StoredBytes_ -= Snapshot_.Answer_->bytes();
    Snapshot_.Answer_ = nullptr;
    unlink();
  }

private:
  EntrySnapshot Snapshot_;
  std::size_t *StoredBytes_ = nullptr;
};

using EntriesWithAnswers =
    boost::intrusive::list<SubmissionEntry,
                           boost::intrusive::constant_time_size<false>>;

} // namespace ebony::idempotency

#endif
