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

/// How a VM speaks to its surroundings: names, formats and calls that belong
/// to the platform and not to the product.
struct PlatformBinding {
  HeaderNames Headers_;
  std::string ReadinessPath_;
  std::string DirectoryPath_;
  /// Table of the operators' rows.
  std::string OperatorTable_;
  /// Row of that table that holds the configuration.
  std::string ConfigurationKey_;
  /// Rows of that table that name a zone to be evacuated start so.
  std::string EvacuationPrefix_;
  /// Table in which upstreams list themselves.
  std::string UpstreamTable_;

  std::function<base::Checked<traffic::TrafficRulesPtr>(const std::string &)>
      DecodeConfiguration_;
  std::function<std::optional<traffic::UpstreamEntry>(const store::Row &)>
      DecodeUpstream_;
  /// Body of a directory answer from addresses and seconds to keep it.
  std::function<std::string(const std::vector<std::string> &, int)>
      EncodeDirectory_;
  /// A client of the store for one kind of call.
  std::function<std::unique_ptr<store::RowStore>()> MakeStore_;
};

} // namespace ebony::vm

#endif
