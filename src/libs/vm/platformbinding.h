#ifndef EBONY_VM_PLATFORMBINDING_H
#define EBONY_VM_PLATFORMBINDING_H

#include "base/finding.h"
#include "store/row.h"
#include "store/rowstore.h"
#include "traffic/trafficrules.h"
#include "traffic/upstreamentry.h"
#include "vm/headernames.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebony::vm {

/// Names, formats and calls that are specific to the platform on which a VM
/// runs.
struct PlatformBinding {
  HeaderNames Headers_;
  std::string ReadinessPath_;
  std::string DirectoryPath_;
  /// Table that holds the operators' rows.
  std::string OperatorTable_;
  /// Key of the row of that table which holds the configuration.
  std::string ConfigurationKey_;
  /// Key prefix of the rows of that table which name a zone to evacuate.
  std::string EvacuationPrefix_;
  /// Table in which upstreams register.
  std::string UpstreamTable_;

  std::function<base::Checked<traffic::TrafficRulesPtr>(const std::string &)>
      DecodeConfiguration_;
  std::function<std::optional<traffic::UpstreamEntry>(const store::Row &)>
      DecodeUpstream_;
  /// Encodes the body of a directory response from VM addresses and the number
  /// of seconds for which it may be cached.
  std::function<std::string(const std::vector<std::string> &, int)>
      EncodeDirectory_;
  /// Creates a client of the store; one client is used for one kind of call.
  std::function<std::unique_ptr<store::RowStore>()> MakeStore_;
};

} // namespace ebony::vm

#endif
