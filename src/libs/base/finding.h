#ifndef EBONY_BASE_FINDING_H
#define EBONY_BASE_FINDING_H

#include <boost/outcome.hpp>

#include <string>
#include <vector>

namespace ebony::base {

/// One problem with input: where it stands and what to do about it.
class Finding {
public:
  /// \p Source is a file or peer, \p Path a place in it such as "$.rate",
  /// \p Message a full sentence that says what to do next.
  Finding(std::string Source, std::string Path, std::string Message);

  const std::string &source() const { return Source_; }
  const std::string &path() const { return Path_; }
  const std::string &message() const { return Message_; }

  /// "source: path: message", without the parts that are empty.
  std::string text() const;

  friend bool operator==(const Finding &, const Finding &) = default;

private:
  std::string Source_;
  std::string Path_;
  std::string Message_;
};

using Findings = std::vector<Finding>;

/// Value, or all findings that stand against it.
template <typename T>
using Checked =
    boost::outcome_v2::basic_result<T, Findings,
                                    boost::outcome_v2::policy::all_narrow>;

/// All findings, one a line.
std::string toText(const Findings &All);

} // namespace ebony::base

#endif
