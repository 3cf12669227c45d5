#ifndef EBONY_IDEMPOTENCY_SUBMISSIONENTRY_H
#define EBONY_IDEMPOTENCY_SUBMISSIONENTRY_H

#include "idempotency/entrysnapshot.h"

#include <boost/intrusive/list.hpp>

#include <utility>

namespace ebony::idempotency {

/// One stored submission. While it has an answer, it is linked into its shard's
/// list of entries with answers.
class SubmissionEntry
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  /// \p Snapshot must not contain an answer; see setAnswer().
  explicit SubmissionEntry(EntrySnapshot Snapshot)
      : Snapshot_(std::move(Snapshot)) {}
  ~SubmissionEntry() { discardAnswer(); }
  SubmissionEntry(const SubmissionEntry &) = delete;
  SubmissionEntry &operator=(const SubmissionEntry &) = delete;

  const EntrySnapshot &snapshot() const { return Snapshot_; }
  EntrySnapshot &snapshot() { return Snapshot_; }

  /// Returns true if neither a claim nor a run of the submission is pending on
  /// this VM.
  bool isFinished() const {
    return Snapshot_.State_ != SubmissionState::Claiming &&
           Snapshot_.State_ != SubmissionState::Running;
  }

  /// Stores \p Answer and adds its size to \p StoredBytes, which must outlive
  /// this object.
  void setAnswer(StoredAnswerPtr Answer, std::size_t &StoredBytes) {
    Snapshot_.Answer_ = std::move(Answer);
    StoredBytes_ = &StoredBytes;
    StoredBytes += Snapshot_.Answer_->bytes();
  }

  /// Discards the answer but keeps the state of the submission.
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
