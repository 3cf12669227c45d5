#ifndef EBONY_CONFIG_CHANGECODEC_H
#define EBONY_CONFIG_CHANGECODEC_H

#include "base/finding.h"
#include "config/changeset.h"
#include "config/recordset.h"

namespace ebony::config {

/// Value of an operation row: the revision at which the operation was
/// committed.
struct OperationEntry {
  Revision Revision_ = 0;
  /// Digest of the changes; distinguishes a resubmission from a reused id.
  std::string Digest_;

  friend bool operator==(const OperationEntry &,
                         const OperationEntry &) = default;
};

/// Encodes and decodes the JSON values of configuration rows and objects.
class ChangeCodec {
public:
  static std::string encode(const ChangeSet &Change);
  static base::Checked<ChangeSet> decodeChange(const std::string &Text);

  static std::string encodeRevision(Revision Number);
  static base::Checked<Revision> decodeRevision(const std::string &Text);

  static std::string encodeOperation(const OperationEntry &Entry);
  static base::Checked<OperationEntry> decodeOperation(const std::string &Text);

  /// Returns one header line with the revision and one line for each record.
  static std::string encodeSnapshot(const RecordSet &Records);
  static base::Checked<RecordSet> decodeSnapshot(const std::string &Text);

  /// Returns a digest of the changes, which is equal for equal submissions.
  static std::string digest(const std::vector<RecordChange> &Changes);
};

} // namespace ebony::config

#endif
