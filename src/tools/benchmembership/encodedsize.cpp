#include "benchmembership/encodedsize.h"

namespace ebony::benchmembership {

using namespace membership;

namespace {

constexpr std::size_t FieldHeaderBytes = 1;
constexpr std::size_t StructEndBytes = 1;
constexpr std::size_t ListHeaderBytes = 2;
constexpr std::size_t CallBytes = 4 + 2 + 5 + 10; // frame, ids, method name

std::size_t number(std::int64_t Value) {
  if (Value == 0)
    return 0;
  auto Zigzag = static_cast<std::uint64_t>(Value) << 1U;
  std::size_t Bytes = FieldHeaderBytes + 1;
  while (Zigzag >>= 7U)
    ++Bytes;
  return Bytes;
}

std::size_t text(const std::string &Value) {
  return FieldHeaderBytes + 1 + Value.size();
}

std::size_t size(base::Duration Age) { return number(Age.count() / 1000); }

std::size_t size(const ProcessTime &Time) {
  return FieldHeaderBytes + number(Time.Real_.time_since_epoch().count()) +
         number(Time.Paused_.count()) + StructEndBytes;
}

std::size_t size(const base::VmAddress &Address) {
  return 1 + Address.text().size();
}

std::size_t size(const VmStatus &Status) {
  return text(Status.Vm_.address().text()) + text(Status.Vm_.zone().text()) +
         number(Status.Vm_.incarnation()) + number(Status.Sequence_) +
         number(Status.AppliedRevision_) +
         number(static_cast<std::int64_t>(Status.Phase_)) +
         number(Status.FreeCapacity_) + FieldHeaderBytes + StructEndBytes;
}

std::size_t size(const MemberEntry &Entry) {
  return size(Entry.Status_) +
         number(static_cast<std::int64_t>(Entry.Liveness_)) + size(Entry.Age_) +
         StructEndBytes;
}

std::size_t size(const RelayedHeartbeat &Heard) {
  return text(Heard.Address_.text()) + number(Heard.Incarnation_) +
         number(Heard.Sequence_) + size(Heard.Age_) + StructEndBytes;
}

std::size_t size(const DigestAge &Age) {
  return text(Age.Zone_.text()) + size(Age.Age_) + number(Age.ContentId_) +
         StructEndBytes;
}

std::size_t size(const DigestEntry &Entry);

template <typename T> std::size_t size(const std::vector<T> &All) {
  if (All.empty())
    return 0;
  std::size_t Bytes = FieldHeaderBytes + ListHeaderBytes;
  for (const T &One : All)
    Bytes += size(One);
  return Bytes;
}

std::size_t size(const DigestEntry &Entry) {
  const ZoneDigest &Digest = Entry.Digest_;
  return text(Digest.Zone_.text()) + number(Digest.Live_) +
         number(Digest.Serving_) + number(Digest.LowestRevision_) +
         number(static_cast<std::int64_t>(Digest.FreeCapacity_)) +
         size(Digest.Relays_) + size(Entry.Age_) + FieldHeaderBytes +
         StructEndBytes;
}

} // namespace

std::size_t encodedSize(const HeartbeatRequest &Request) {
  return CallBytes + size(Request.Status_) + number(Request.KnownIncarnation_) +
         number(Request.KnownVersion_) + number(Request.KnownDigestVersion_) +
         FieldHeaderBytes + number(static_cast<std::int64_t>(Request.TreeId_)) +
         (Request.Echo_ ? size(*Request.Echo_) : 0) +
         size(Request.KnownDigests_) + StructEndBytes;
}

std::size_t encodedSize(const HeartbeatReply &Reply) {
  return CallBytes + size(Reply.Status_) + number(Reply.AnswersSequence_) +
         size(Reply.Time_) + number(Reply.SupersededBy_) +
         2 * FieldHeaderBytes + number(Reply.Version_) + size(Reply.Members_) +
         size(Reply.Heard_) + number(Reply.DigestVersion_) +
         size(Reply.Digests_) + size(Reply.Refreshed_) + size(Reply.Relays_) +
         StructEndBytes;
}

} // namespace ebony::benchmembership
