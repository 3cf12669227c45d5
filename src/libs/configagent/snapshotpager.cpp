#include "configagent/snapshotpager.h"

namespace ebony::configagent {

namespace {

constexpr std::size_t RecordsPerPage = 1000;
constexpr base::Duration PinnedFor = std::chrono::seconds(30);

} // namespace

SnapshotPage SnapshotPager::answer(const SnapshotPageRequest &Request,
                                   const config::RecordSet &Present,
                                   base::TimePoint Now) {
  if (Pinned_ && Now - LastAsked_ > PinnedFor)
    Pinned_.reset();
  if (Request.At_ == 0 && !Pinned_)
    Pinned_ = Present;
  if (!Pinned_ || (Request.At_ != 0 && Request.At_ != Pinned_->revision()))
    return {};
  LastAsked_ = Now;
  SnapshotPage Page;
  Page.At_ = Pinned_->revision();
  Page.NextBucket_ = Request.Bucket_;
  for (const config::RecordPtr &One :
       Pinned_->page(&Page.NextBucket_, RecordsPerPage))
    Page.Records_.push_back(
        {One->id(), One->text(), One->lastChangedRevision()});
  Page.Last_ = Page.NextBucket_ > config::RecordSet::lastBucket();
  return Page;
}

SnapshotPageRequest SnapshotAssembler::nextRequest() const {
  return {At_, Bucket_};
}

std::optional<config::RecordSet>
SnapshotAssembler::take(const SnapshotPage &Page) {
  if (Page.At_ == 0 || (At_ != 0 && Page.At_ != At_)) {
    *this = SnapshotAssembler();
    return std::nullopt;
  }
  At_ = Page.At_;
  Bucket_ = Page.NextBucket_;
  for (const SnapshotRecord &One : Page.Records_)
    Records_.push_back(
        new config::Record(One.Id_, One.Text_, One.LastChangedRevision_));
  if (!Page.Last_)
    return std::nullopt;
  config::RecordSet All(At_, Records_);
  *this = SnapshotAssembler();
  return All;
}

} // namespace ebony::configagent
