#include "config/recordset.h"

#include "base/hashing.h"
#include "config/recordbucket.h"

#include <algorithm>

namespace ebony::config {

namespace {

// With 180,000 records a bucket holds about 180. A change copies one bucket and
// the bucket array, some 10 KB instead of all records.
constexpr std::size_t BucketCount = 1024;

std::size_t bucketIndex(const RecordId &Id) {
  return base::stableHash(Id.Name_, base::stableHash(Id.Kind_)) % BucketCount;
}

} // namespace

RecordSet::RecordSet()
    : Buckets_(BucketCount, BucketPtr(new Internal::RecordBucket())) {}

RecordSet::RecordSet(Revision AtRevision, const std::vector<RecordPtr> &Records)
    : RecordSet() {
  Revision_ = AtRevision;
  for (const RecordPtr &Entry : Records)
    put(Entry);
}

RecordSet::RecordSet(const RecordSet &) = default;
RecordSet::RecordSet(RecordSet &&) noexcept = default;
RecordSet &RecordSet::operator=(const RecordSet &) = default;
RecordSet &RecordSet::operator=(RecordSet &&) noexcept = default;
RecordSet::~RecordSet() = default;

RecordPtr RecordSet::find(const RecordId &Id) const {
  return Buckets_[bucketIndex(Id)]->find(Id);
}

void RecordSet::visit(const std::function<void(const Record &)> &Visit) const {
  for (const BucketPtr &Bucket : Buckets_)
    for (const RecordPtr &Entry : Bucket->records())
      Visit(*Entry);
}

std::vector<RecordPtr> RecordSet::ofKind(std::string_view Kind) const {
  std::vector<RecordPtr> Found;
  for (const BucketPtr &Bucket : Buckets_)
    for (const RecordPtr &Entry : Bucket->records())
      if (Entry->id().Kind_ == Kind)
        Found.push_back(Entry);
  std::sort(Found.begin(), Found.end(),
            [](const RecordPtr &Left, const RecordPtr &Right) {
              return Left->id() < Right->id();
            });
  return Found;
}

std::vector<RecordPtr> RecordSet::page(std::size_t *Bucket,
                                       std::size_t Limit) const {
  std::vector<RecordPtr> Page;
  while (*Bucket < BucketCount) {
    const auto &Next = Buckets_[*Bucket]->records();
    if (!Page.empty() && Page.size() + Next.size() > Limit)
      break;
    Page.insert(Page.end(), Next.begin(), Next.end());
    ++*Bucket;
  }
  return Page;
}

std::size_t RecordSet::lastBucket() { return BucketCount - 1; }

base::Checked<RecordSet> RecordSet::apply(const ChangeSet &Change) const {
  if (Change.Revision_ != Revision_ + 1)
    return base::Findings{{"configuration", "revision",
                           "Change " + std::to_string(Change.Revision_) +
                               " does not follow revision " +
                               std::to_string(Revision_) +
                               "; fetch the changes between them first."}};
  RecordSet Next(*this);
  Next.Revision_ = Change.Revision_;
  for (const RecordChange &Item : Change.Changes_) {
    if (Item.isDeletion())
      Next.erase(Item.Id_);
    else
      Next.put(new Record(Item.Id_, *Item.Text_, Change.Revision_));
  }
  return Next;
}

void RecordSet::put(RecordPtr Added) {
  BucketPtr &Bucket = Buckets_[bucketIndex(Added->id())];
  const std::size_t Before = Bucket->records().size();
  Bucket = Bucket->with(std::move(Added));
  Size_ += Bucket->records().size() - Before;
}

void RecordSet::erase(const RecordId &Id) {
  BucketPtr &Bucket = Buckets_[bucketIndex(Id)];
  const std::size_t Before = Bucket->records().size();
  Bucket = Bucket->without(Id);
  Size_ -= Before - Bucket->records().size();
}

bool operator==(const RecordSet &Left, const RecordSet &Right) {
  if (Left.Revision_ != Right.Revision_ || Left.Size_ != Right.Size_)
    return false;
  for (std::size_t Index = 0; Index < BucketCount; ++Index) {
    const auto &LeftRecords = Left.Buckets_[Index]->records();
    const auto &RightRecords = Right.Buckets_[Index]->records();
    if (!std::equal(
            LeftRecords.begin(), LeftRecords.end(), RightRecords.begin(),
            RightRecords.end(),
            [](const RecordPtr &LeftRecord, const RecordPtr &RightRecord) {
              return *LeftRecord == *RightRecord;
            }))
      return false;
  }
  return true;
}

} // namespace ebony::config
