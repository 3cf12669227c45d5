#ifndef EBONY_STANDIN_JSONFIELDS_H
#define EBONY_STANDIN_JSONFIELDS_H

#include "base/finding.h"
#include "base/time.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ebony::standin {

/// Reads the members of one JSON object and collects a finding for each member
/// that is missing, of the wrong type or unknown.
class JsonFields {
public:
  /// \p Problems must outlive this object.
  JsonFields(Poco::JSON::Object::Ptr Object, std::string Source,
             std::string Path, base::Findings &Problems);

  bool has(const std::string &Name) const;

  std::string text(const std::string &Name);
  std::string text(const std::string &Name, const std::string &Default);
  std::int64_t whole(const std::string &Name);
  std::int64_t whole(const std::string &Name, std::int64_t Default);
  double number(const std::string &Name);
  double number(const std::string &Name, double Default);
  bool flag(const std::string &Name, bool Default);

  /// Duration given in milliseconds, which may have a fraction.
  base::Duration milliseconds(const std::string &Name, base::Duration Default);

  /// Port number from 0 to 65535.
  std::uint16_t port(const std::string &Name);

  /// Elements of an array of objects; empty when the array is absent.
  std::vector<JsonFields> objects(const std::string &Name);

  /// Elements of an array of numbers; empty when the array is absent.
  std::vector<double> numbers(const std::string &Name);

  /// Elements of an array of strings; empty when the array is absent.
  std::vector<std::string> texts(const std::string &Name);

  /// Nested object \p Name; an empty one when it is absent.
  JsonFields object(const std::string &Name);

  /// Whole object as compact JSON text.
  std::string json() const;

  /// Names of all members.
  std::vector<std::string> names() const;

  /// Adds a finding for each member that was not read.
  void rejectUnknown();

  /// Adds a finding about member \p Name.
  void reject(const std::string &Name, const std::string &Message);

private:
  std::optional<Poco::Dynamic::Var> find(const std::string &Name);
  std::optional<Poco::Dynamic::Var> require(const std::string &Name);
  std::int64_t asWhole(const std::string &Name,
                       const Poco::Dynamic::Var &Value);
  double asNumber(const std::string &Name, const Poco::Dynamic::Var &Value);
  std::string asText(const std::string &Name, const Poco::Dynamic::Var &Value);
  Poco::JSON::Array::Ptr array(const std::string &Name);

  Poco::JSON::Object::Ptr Object_;
  std::string Source_;
  std::string Path_;
  base::Findings *Problems_;
  std::set<std::string> Known_;
};

/// Parses \p Text as a JSON object; returns an empty object and adds a finding
/// when it is not one.
Poco::JSON::Object::Ptr parseObject(const std::string &Text,
                                    const std::string &Source,
                                    base::Findings &Problems);

/// Returns \p Object as compact JSON text.
std::string toText(const Poco::JSON::Object &Object);

} // namespace ebony::standin

#endif
