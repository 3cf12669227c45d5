#include "benchmembership/encodedsize.h"

namespace ebony::benchmembership {

using namespace membership;

namespace {

constexpr std::size_t FieldHeaderBytes = 1;
constexpr std::size_t StructEndBytes = 1;
constexpr std::size_t ListHeaderBytes = 2;
constexpr std::size_t CallBytes = 4 + 2 + 5 + 10; // frame, ids, method name

std::size_t numberFieldSize(std::int64_t Value) {
  if (Value == 0)
    return 0;
  auto Zigzag = static_cast<std::uint64_t>(Value) << 1U;
  std::size_t Bytes = FieldHeaderBytes + 1;
  while (Zigzag >>= 7U)
    ++Bytes;
  return Bytes;
}

std::size_t textFieldSize(const std::string &Value) {
  return FieldHeaderBytes + 1 + Value.size();
}

std::size_t size(base::Duration Age) {
  return numberFieldSize(Age.count() / 1000);
}

std::size_t size(const ProcessTime &Time) {
  return FieldHeaderBytes +
         numberFieldSize(Time.Real_.time_since_epoch().count()) +
         numberFieldSize(Time.Paused_.count()) + StructEndBytes;
}

std::size_t size(const base::VmAddress &Address) {
  return 1 + Address.text().size();
}

std::size_t size(const VmStatus &Status) {
  return textFieldSize(Status.Vm_.address().text()) +
         textFieldSize(Status.Vm_.zone().text()) +
         numberFieldSize(Status.Vm_.incarnation()) +
         numberFieldSize(Status.Sequence_) +
         numberFieldSize(Status.AppliedRevision_) +
         numberFieldSize(static_cast<std::int64_t>(Status.Phase_)) +
         numberFieldSize(Status.FreeCapacity_) + FieldHeaderBytes +
         StructEndBytes;
}

std::size_t size(const MemberEntry &Entry) {
  return size(Entry.Status_) +
         numberFieldSize(static_cast<std::int64_t>(Entry.Liveness_)) +
         size(Entry.Age_) + StructEndBytes;
}

std::size_t size(const RelayedHeartbeat &Heartbeat) {
  return textFieldSize(Heartbeat.Address_.text()) +
         numberFieldSize(Heartbeat.Incarnation_) +
         numberFieldSize(Heartbeat.Sequence_) + size(Heartbeat.Age_) +
         StructEndBytes;
}

std::size_t size(const DigestAge &Age) {
  return textFieldSize(Age.Zone_.text()) + size(Age.Age_) +
         numberFieldSize(Age.ContentId_) + StructEndBytes;
}

std::size_t size(const DigestEntry &Entry);

template <typename T> std::size_t size(const std::vector<T> &Items) {
  if (Items.empty())
    return 0;
  std::size_t Bytes = FieldHeaderBytes + ListHeaderBytes;
  for (const T &Item : Items)
    Bytes += size(Item);
  return Bytes;
}

std::size_t size(const DigestEntry &Entry) {
  const ZoneDigest &Digest = Entry.Digest_;
  return textFieldSize(Digest.Zone_.text()) + numberFieldSize(Digest.LiveVms_) +
         numberFieldSize(Digest.ServingVms_) +
         numberFieldSize(Digest.LowestRevision_) +
         numberFieldSize(static_cast<std::int64_t>(Digest.FreeCapacity_)) +
         size(Digest.Relays_) + size(Entry.Age_) + FieldHeaderBytes +
         StructEndBytes;
}

} // namespace

std::size_t encodedSize(const HeartbeatRequest &Request) {
  return CallBytes + size(Request.Status_) +
         numberFieldSize(Request.KnownIncarnation_) +
         numberFieldSize(Request.KnownVersion_) +
         numberFieldSize(Request.KnownDigestVersion_) + FieldHeaderBytes +
         numberFieldSize(static_cast<std::int64_t>(Request.TreeId_)) +
         (Request.Echo_ ? size(*Request.Echo_) : 0) +
         size(Request.KnownDigests_) + StructEndBytes;
}

std::size_t encodedSize(const HeartbeatReply &Reply) {
  return CallBytes + size(Reply.Status_) +
         numberFieldSize(Reply.RequestSequence_) + size(Reply.Time_) +
         numberFieldSize(Reply.SupersededBy_) + 2 * FieldHeaderBytes +
         numberFieldSize(Reply.Version_) + size(Reply.Members_) +
         size(Reply.RelayedHeartbeats_) +
         numberFieldSize(Reply.DigestVersion_) + size(Reply.Digests_) +
         size(Reply.RefreshedDigests_) + size(Reply.Relays_) + StructEndBytes;
}

} // namespace ebony::benchmembership
