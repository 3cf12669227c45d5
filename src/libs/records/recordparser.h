#ifndef EBONY_RECORDS_RECORDPARSER_H
#define EBONY_RECORDS_RECORDPARSER_H

#include "base/finding.h"
#include "records/record.h"

#include <string>
#include <vector>

namespace ebony::records {

/// Parses an array of records or a single record, of any supported schema
/// version. Returns the records, or the findings for the whole text.
base::Checked<std::vector<Record>> parseRecords(const std::string &Source,
                                                const std::string &Text);

/// Parses exactly one record.
base::Checked<Record> parseRecord(const std::string &Source,
                                  const std::string &Text);

} // namespace ebony::records

#endif
