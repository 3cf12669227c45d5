#ifndef EBONY_VM_NEWSBOARD_H
#define EBONY_VM_NEWSBOARD_H

#include "peers/tablenews.h"

#include <functional>
#include <map>
#include <string>

namespace ebony::vm {

/// Joins the followers of tables with the exchange between VMs, which do not
/// know each other.
class NewsBoard {
public:
  using Taker = std::function<void(const peers::TableNews &)>;

  /// \p Take is called with news of \p Table from other VMs.
  void join(const std::string &Table, Taker Take) {
    Takers_[Table] = std::move(Take);
  }

  /// \p Send passes news on to the other VMs of the region.
  void setSender(Taker Send) { Send_ = std::move(Send); }

  void publish(const peers::TableNews &News) const {
    if (Send_)
      Send_(News);
  }

  /// False when nobody follows the table.
  bool deliver(const peers::TableNews &News) const {
    const auto Entry = Takers_.find(News.Table_);
    if (Entry == Takers_.end())
      return false;
    Entry->second(News);
    return true;
  }

private:
  std::map<std::string, Taker> Takers_;
  Taker Send_;
};

} // namespace ebony::vm

#endif
