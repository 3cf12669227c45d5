#ifndef EBONY_IDEMPOTENCY_STOREDANSWER_H
#define EBONY_IDEMPOTENCY_STOREDANSWER_H

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace ebony::idempotency {

/// Complete answer of an upstream, shared by the requests that return it.
class StoredAnswer : public boost::intrusive_ref_counter<StoredAnswer> {
public:
  StoredAnswer(std::uint16_t Status, std::string ContentType, std::string Body)
      : Status_(Status), ContentType_(std::move(ContentType)),
        Body_(std::move(Body)) {}

  std::uint16_t status() const { return Status_; }
  const std::string &contentType() const { return ContentType_; }
  const std::string &body() const { return Body_; }

  /// Returns the size of the answer in bytes.
  std::size_t bytes() const { return ContentType_.size() + Body_.size(); }

  friend bool operator==(const StoredAnswer &A, const StoredAnswer &B) {
    return A.Status_ == B.Status_ && A.ContentType_ == B.ContentType_ &&
           A.Body_ == B.Body_;
  }

private:
  std::uint16_t Status_;
  std::string ContentType_;
  std::string Body_;
};

using StoredAnswerPtr = boost::intrusive_ptr<const StoredAnswer>;

} // namespace ebony::idempotency

#endif
