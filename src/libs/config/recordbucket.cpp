#include "config/recordbucket.h"

#include <algorithm>

namespace ebony::config::Internal {

std::vector<RecordPtr>::const_iterator
RecordBucket::lowerBound(const RecordId &Id) const {
  return std::lower_bound(Records_.begin(), Records_.end(), Id,
                          [](const RecordPtr &Entry, const RecordId &Key) {
                            return Entry->id() < Key;
                          });
}

RecordPtr RecordBucket::find(const RecordId &Id) const {
  const auto Position = lowerBound(Id);
  return Position != Records_.end() && (*Position)->id() == Id ? *Position
                                                               : RecordPtr();
}

boost::intrusive_ptr<const RecordBucket>
RecordBucket::with(RecordPtr Added) const {
  const auto Position = lowerBound(Added->id());
  const bool Replaces =
      Position != Records_.end() && (*Position)->id() == Added->id();
  std::vector<RecordPtr> Copy;
  Copy.reserve(Records_.size() + (Replaces ? 0 : 1));
  Copy.assign(Records_.begin(), Position);
  Copy.push_back(std::move(Added));
  Copy.insert(Copy.end(), Replaces ? Position + 1 : Position, Records_.end());
  return new RecordBucket(std::move(Copy));
}

boost::intrusive_ptr<const RecordBucket>
RecordBucket::without(const RecordId &Id) const {
  std::vector<RecordPtr> Copy;
  Copy.reserve(Records_.size());
  for (const RecordPtr &Entry : Records_)
    if (Entry->id() != Id)
      Copy.push_back(Entry);
  return new RecordBucket(std::move(Copy));
}

} // namespace ebony::config::Internal
