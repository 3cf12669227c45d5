#include "configagent/snapshotpager.h"

namespace ebony::configagent {

namespace {

constexpr std::size_t RecordsPerPage = 1000;
constexpr base::Duration PinTimeout = std::chrono::seconds(30);

} // namespace

SnapshotPage SnapshotPager::answer(const SnapshotPageRequest &Request,
                                   const config::RecordSet &Current,
                                   base::TimePoint Now) {
  if (PinnedSnapshot_ && Now - LastRequestAt_ > PinTimeout)
    PinnedSnapshot_.reset();
  if (Request.SnapshotRevision_ == 0 && !PinnedSnapshot_)
    PinnedSnapshot_ = Current;
  if (!PinnedSnapshot_ ||
      (Request.SnapshotRevision_ != 0 &&
       Request.SnapshotRevision_ != PinnedSnapshot_->revision()))
    return {};
  LastRequestAt_ = Now;
  SnapshotPage Page;
  Page.SnapshotRevision_ = PinnedSnapshot_->revision();
  Page.NextBucket_ = Request.Bucket_;
  for (const config::RecordPtr &Entry :
       PinnedSnapshot_->page(&Page.NextBucket_, RecordsPerPage))
    Page.Records_.push_back(
        {Entry->id(), Entry->text(), Entry->lastChangedRevision()});
  Page.Last_ = Page.NextBucket_ > config::RecordSet::lastBucket();
  return Page;
}

SnapshotPageRequest SnapshotAssembler::nextRequest() const {
  return {SnapshotRevision_, Bucket_};
}

std::optional<config::RecordSet>
SnapshotAssembler::addPage(const SnapshotPage &Page) {
  if (Page.SnapshotRevision_ == 0 ||
      (SnapshotRevision_ != 0 && Page.SnapshotRevision_ != SnapshotRevision_)) {
    *this = SnapshotAssembler();
    return std::nullopt;
  }
  SnapshotRevision_ = Page.SnapshotRevision_;
  Bucket_ = Page.NextBucket_;
  for (const SnapshotRecord &PageRecord : Page.Records_)
    Records_.push_back(new config::Record(PageRecord.Id_, PageRecord.Text_,
                                          PageRecord.LastChangedRevision_));
  if (!Page.Last_)
    return std::nullopt;
  config::RecordSet Snapshot(SnapshotRevision_, Records_);
  *this = SnapshotAssembler();
  return Snapshot;
}

} // namespace ebony::configagent
