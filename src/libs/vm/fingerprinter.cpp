#include "vm/fingerprinter.h"

#include "vm/headerfields.h"

#include <Poco/SHA2Engine.h>

#include <algorithm>

namespace ebony::vm {

namespace {

// Less than what is buffered of each body before the request is forwarded.
constexpr std::size_t MaxBodyBytes = 64UL * 1024;

void addPart(Poco::SHA2Engine &Digest, std::string_view Part) {
  // The length keeps parts apart that are joined differently.
  const std::string Length = std::to_string(Part.size()) + ":";
  Digest.update(Length.data(), Length.size());
  if (!Part.empty())
    Digest.update(Part.data(), Part.size());
}

} // namespace

traffic::RequestFingerprint fingerprintOf(const CallerRequest &Request) {
  // A cryptographic digest: nobody can make a request that is taken for
  // another one.
  Poco::SHA2Engine Digest(Poco::SHA2Engine::SHA_256);
  addPart(Digest, Request.Customer_);
  addPart(Digest, Request.Method_);
  addPart(Digest, valueOf(Request.Fields_, "Host"));
  addPart(Digest, Request.Target_);
  const bool IsBuffered = !Request.HasMoreBody_;
  addPart(Digest, IsBuffered ? std::to_string(Request.Body_.size())
                             : std::to_string(Request.BodyLength_));
  addPart(Digest, std::string_view(Request.Body_).substr(0, MaxBodyBytes));
  const Poco::DigestEngine::Digest &Bytes = Digest.digest();
  traffic::RequestFingerprint Result = 0;
  for (std::size_t I = 0; I < sizeof(Result); ++I)
    Result = (Result << 8U) | Bytes[I];
  return Result;
}

} // namespace ebony::vm
