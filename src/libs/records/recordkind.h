#ifndef EBONY_RECORDS_RECORDKIND_H
#define EBONY_RECORDS_RECORDKIND_H

#include <optional>
#include <string>
#include <string_view>

namespace ebony::records {

/// Kinds of configuration records.
enum class RecordKind {
  Region,
  Zone,
  Link,
  Service,
  Route,
  Upstream,
  Customer,
  Key,
  Drain,
  Shift,
};

/// Returns the name of the kind in JSON records, such as "customer".
std::string_view toText(RecordKind Kind);

/// Returns the kind named \p Text, or std::nullopt if there is none.
std::optional<RecordKind> parseRecordKind(std::string_view Text);

/// Returns all kind names, separated by commas, for messages.
std::string recordKindNames();

} // namespace ebony::records

#endif
