#ifndef EBONY_CONFIG_RECORDBUCKET_H
#define EBONY_CONFIG_RECORDBUCKET_H

#include "config/record.h"

#include <vector>

namespace ebony::config::Internal {

/// Immutable sorted list of the records whose ids share a hash bucket.
class RecordBucket final : public boost::intrusive_ref_counter<RecordBucket> {
public:
  RecordBucket() = default;

  const std::vector<RecordPtr> &records() const { return Records_; }

  /// Returns the record with that id, or null if there is none.
  RecordPtr find(const RecordId &Id) const;

  /// Returns a copy in which \p Added replaces the record with its id, if any.
  boost::intrusive_ptr<const RecordBucket> with(RecordPtr Added) const;

  /// Returns a copy without the record \p Id.
  boost::intrusive_ptr<const RecordBucket> without(const RecordId &Id) const;

private:
  explicit RecordBucket(std::vector<RecordPtr> Records)
      : Records_(std::move(Records)) {}

  std::vector<RecordPtr>::const_iterator lowerBound(const RecordId &Id) const;

  std::vector<RecordPtr> Records_;
};

} // namespace ebony::config::Internal

#endif
