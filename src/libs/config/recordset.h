#ifndef EBONY_CONFIG_RECORDSET_H
#define EBONY_CONFIG_RECORDSET_H

#include "base/finding.h"
#include "config/changeset.h"
#include "config/record.h"

#include <functional>
#include <string_view>
#include <vector>

namespace ebony::config {

namespace Internal {
class RecordBucket;
} // namespace Internal

/// Immutable snapshot of all records at one revision. Copies share their
/// records; applying a change copies only the buckets that it touches.
class RecordSet {
public:
  /// Creates the empty configuration, revision 0.
  RecordSet();
  RecordSet(Revision AtRevision, const std::vector<RecordPtr> &Records);
  RecordSet(const RecordSet &);
  RecordSet(RecordSet &&) noexcept;
  RecordSet &operator=(const RecordSet &);
  RecordSet &operator=(RecordSet &&) noexcept;
  ~RecordSet();

  Revision revision() const { return Revision_; }
  std::size_t size() const { return Size_; }

  /// Returns the record of that kind and name, or null if there is none.
  RecordPtr find(const RecordId &Id) const;

  /// Calls \p Visit for every record, in unspecified order.
  void visit(const std::function<void(const Record &)> &Visit) const;

  /// Returns the records of one kind, sorted by name.
  std::vector<RecordPtr> ofKind(std::string_view Kind) const;

  /// Returns the records of the buckets from \p *Bucket on: first those of the
  /// first bucket that is not empty, then more buckets while the page holds at
  /// most \p Limit records. Sets \p *Bucket to the bucket that the next page
  /// starts with, which is past lastBucket() at the end.
  std::vector<RecordPtr> page(std::size_t *Bucket, std::size_t Limit) const;
  static std::size_t lastBucket();

  /// Returns the snapshot after \p Change, or a finding if the revision of
  /// \p Change is not the next one.
  base::Checked<RecordSet> apply(const ChangeSet &Change) const;

  friend bool operator==(const RecordSet &Left, const RecordSet &Right);

private:
  using BucketPtr = boost::intrusive_ptr<const Internal::RecordBucket>;

  void put(RecordPtr Added);
  void erase(const RecordId &Id);

  Revision Revision_ = 0;
  std::size_t Size_ = 0;
  std::vector<BucketPtr> Buckets_;
};

} // namespace ebony::config

#endif
