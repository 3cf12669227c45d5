#include "idempotency/requestsession.h"

#include "base/hashing.h"
#include "idempotency/hexnumber.h"

#include <utility>
#include <vector>

namespace ebony::idempotency {

namespace {

constexpr std::string_view Prefix = "es1-";
constexpr std::size_t FieldCount = 6;

std::vector<std::string_view> split(std::string_view Text) {
  std::vector<std::string_view> Fields;
  while (true) {
    const std::size_t End = Text.find('-');
    Fields.push_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      return Fields;
    Text.remove_prefix(End + 1);
  }
}

// Detects truncated or mistyped text. It does not protect against forgery; the
// nonce does.
std::uint64_t checksum(std::string_view Payload) {
  return base::stableHash(Payload) >> 32U;
}

base::Findings damagedSession() {
  return {{"Idempotency-Key", "",
           "The request session is damaged; send it as the look-up gave it, or "
           "ask for a new one."}};
}

} // namespace

RequestSession::RequestSession(SubmissionOwner Owner, SessionEpoch Epoch,
                               std::uint64_t Number, std::uint64_t Nonce)
    : Owner_(std::move(Owner)), Epoch_(Epoch), Number_(Number), Nonce_(Nonce) {}

bool RequestSession::isSessionText(std::string_view Text) {
  return Text.starts_with(Prefix);
}

std::string RequestSession::payload() const {
  return Owner_.address().text() + "-" +
         toHex(static_cast<std::uint64_t>(Owner_.incarnation())) + "-" +
         toHex(Epoch_) + "-" + toHex(Number_) + "-" + toHex(Nonce_);
}

std::string RequestSession::text() const {
  const std::string Payload = payload();
  return std::string(Prefix) + Payload + "-" + toHex(checksum(Payload));
}

base::Checked<RequestSession> RequestSession::parse(std::string_view Text) {
  if (!isSessionText(Text))
    return damagedSession();
  const auto Fields = split(Text.substr(Prefix.size()));
  if (Fields.size() != FieldCount || Fields[0].empty())
    return damagedSession();
  const auto Number = fromHex(Fields[3]);
  const auto Nonce = fromHex(Fields[4]);
  const auto Incarnation = fromHex(Fields[1]);
  const auto Epoch = fromHex(Fields[2]);
  if (!Number || !Nonce || !Incarnation || !Epoch || *Epoch > UINT32_MAX)
    return damagedSession();
  const RequestSession Session(
      SubmissionOwner(base::VmAddress(std::string(Fields[0])),
                      static_cast<base::Incarnation>(*Incarnation)),
      static_cast<SessionEpoch>(*Epoch), *Number, *Nonce);
  if (Session.text() != Text)
    return damagedSession();
  return Session;
}

} // namespace ebony::idempotency
