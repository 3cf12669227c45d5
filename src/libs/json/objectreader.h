#ifndef EBONY_JSON_OBJECTREADER_H
#define EBONY_JSON_OBJECTREADER_H

#include "base/finding.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace ebony::json {

/// Reads the members of one JSON object and collects a finding for each
/// member that is absent, of the wrong type, out of range or unknown.
class ObjectReader {
public:
  /// \p Place is the object's own path, such as "$[3]". The findings go to
  /// \p Report, which has to outlive the reader.
  ObjectReader(std::string Source, std::string Place,
               Poco::JSON::Object::Ptr Object, base::Findings &Report);

  /// Text that must be there and not be empty.
  std::string text(const std::string &Member);
  std::string textOr(const std::string &Member, const std::string &Fallback);

  /// Whole number from \p Least to \p Most.
  std::int64_t number(const std::string &Member, std::int64_t Least,
                      std::int64_t Most);
  std::int64_t numberOr(const std::string &Member, std::int64_t Fallback,
                        std::int64_t Least, std::int64_t Most);

  /// Number with a fraction from \p Least to \p Most.
  double real(const std::string &Member, double Least, double Most);
  double realOr(const std::string &Member, double Fallback, double Least,
                double Most);

  bool flagOr(const std::string &Member, bool Fallback);

  bool has(const std::string &Member) const;

  /// Adds a finding that stands at \p Member.
  void report(const std::string &Member, const std::string &Message);

  /// Adds a finding for each member that no call has asked for.
  void rejectUnknown();

private:
  std::optional<Poco::Dynamic::Var> find(const std::string &Member,
                                         bool IsRequired);
  template <typename Number>
  Number bounded(const std::string &Member, std::optional<Number> Fallback,
                 Number Least, Number Most);

  std::string Source_;
  std::string Place_;
  Poco::JSON::Object::Ptr Object_;
  base::Findings &Report_;
  std::set<std::string> Asked_;
};

} // namespace ebony::json

#endif
