#ifndef EBONY_VM_TABLENEWSROUTER_H
#define EBONY_VM_TABLENEWSROUTER_H

#include "peers/tablenews.h"

#include <functional>
#include <map>
#include <string>

namespace ebony::vm {

/// Routes table news between the table followers and the messenger to other
/// VMs, so that neither depends on the other.
class TableNewsRouter {
public:
  using NewsHandler = std::function<void(const peers::TableNews &)>;

  /// Calls \p Handler with news of \p Table from other VMs.
  void subscribe(const std::string &Table, NewsHandler Handler) {
    Handlers_[Table] = std::move(Handler);
  }

  /// Sets the function that sends news to the other VMs of the region.
  void setSender(NewsHandler Sender) { Sender_ = std::move(Sender); }

  /// Sends \p News to the other VMs of the region.
  void publish(const peers::TableNews &News) const {
    if (Sender_)
      Sender_(News);
  }

  /// Passes \p News to the follower of its table. Returns false if there is
  /// none.
  bool deliver(const peers::TableNews &News) const {
    const auto Entry = Handlers_.find(News.Table_);
    if (Entry == Handlers_.end())
      return false;
    Entry->second(News);
    return true;
  }

private:
  std::map<std::string, NewsHandler> Handlers_;
  NewsHandler Sender_;
};

} // namespace ebony::vm

#endif
