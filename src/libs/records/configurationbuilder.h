#ifndef EBONY_RECORDS_CONFIGURATIONBUILDER_H
#define EBONY_RECORDS_CONFIGURATIONBUILDER_H

#include "base/finding.h"
#include "records/configuration.h"

#include <functional>

namespace ebony::records {

/// Builds a configuration from the previous one by adding, replacing and
/// removing records.
class ConfigurationBuilder {
public:
  explicit ConfigurationBuilder(Configuration Previous);

  void put(const Record &Added);

  /// Removes the record if it exists.
  void remove(RecordKind Kind, const std::string &Name);

  /// Returns a finding for each reference to a record that does not exist, and
  /// for each upstream that shares its address and port with another.
  base::Findings check(const std::string &Source) const;

  Configuration build(std::int64_t Revision) const;

private:
  Configuration Next_;
};

} // namespace ebony::records

#endif
