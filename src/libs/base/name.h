#ifndef EBONY_BASE_NAME_H
#define EBONY_BASE_NAME_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace ebony::base {

/// Text that names one kind of thing; names of different kinds do not mix.
template <typename Kind> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text_(std::move(Text)) {}

  const std::string &text() const { return Text_; }
  bool isEmpty() const { return Text_.empty(); }

  friend bool operator==(const Name &, const Name &) = default;
  friend std::strong_ordering operator<=>(const Name &A, const Name &B) {
    return A.Text_.compare(B.Text_) <=> 0;
  }

private:
  std::string Text_;
};

using CustomerName = Name<struct CustomerKind>;
using ServiceName = Name<struct ServiceKind>;
using RegionName = Name<struct RegionKind>;
using ZoneName = Name<struct ZoneKind>;
using UpstreamName = Name<struct UpstreamKind>;
using RequestId = Name<struct RequestKind>;

} // namespace ebony::base

template <typename Kind> struct std::hash<ebony::base::Name<Kind>> {
  std::size_t operator()(const ebony::base::Name<Kind> &One) const {
    return std::hash<std::string>()(One.text());
  }
};

#endif
