#ifndef EBONY_VM_EXCHANGEQUEUE_H
#define EBONY_VM_EXCHANGEQUEUE_H

#include <cstddef>
#include <deque>
#include <memory>
#include <utility>

namespace ebony::vm {

/// The unanswered requests of one connection in the order in which they
/// arrived, which is the order of their responses.
///
/// Load pattern: callers that send several requests before the first response.
/// Requests that may be repeated are processed at the same time. One that must
/// not be repeated is processed alone: a response before it could close the
/// connection, after which the caller sends it again.
template <typename Exchange> class ExchangeQueue {
public:
  using ExchangePtr = std::shared_ptr<Exchange>;

  /// \p MaxCount is the number of requests that are processed at the same time.
  explicit ExchangeQueue(std::size_t MaxCount) : MaxCount_(MaxCount) {}

  /// Returns whether another request may be read.
  bool hasRoom() const {
    return Entries_.empty() ||
           (Entries_.size() < MaxCount_ && !Entries_.back().RunsAlone_);
  }

  /// Appends a request. \p RunsAlone is whether no other request of the
  /// connection may be processed at the same time. Returns whether it may
  /// start now.
  bool push(ExchangePtr Last, bool RunsAlone) {
    const bool StartsNow = Entries_.empty() || !RunsAlone;
    Entries_.push_back({std::move(Last), RunsAlone, StartsNow});
    return StartsNow;
  }

  /// Removes the first request, which has been answered. Returns the request
  /// that may start now, or null.
  ExchangePtr pop() {
    Entries_.pop_front();
    if (Entries_.empty() || Entries_.front().HasStarted_)
      return nullptr;
    Entries_.front().HasStarted_ = true;
    return Entries_.front().Exchange_;
  }

  void clear() { Entries_.clear(); }

  bool empty() const { return Entries_.empty(); }
  std::size_t size() const { return Entries_.size(); }
  const ExchangePtr &front() const { return Entries_.front().Exchange_; }

  /// Calls \p Visit with each request in order.
  template <typename Function> void forEach(Function Visit) const {
    for (const Entry &Each : Entries_)
      Visit(*Each.Exchange_);
  }

private:
  struct Entry {
    ExchangePtr Exchange_;
    bool RunsAlone_ = false;
    bool HasStarted_ = false;
  };

  std::size_t MaxCount_;
  std::deque<Entry> Entries_;
};

} // namespace ebony::vm

#endif
