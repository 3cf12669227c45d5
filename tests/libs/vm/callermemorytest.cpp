#include "vm/callermemory.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace ebony;
using namespace ebony::vm;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Capacity = 1'000'000;
constexpr std::size_t LargeCapacity = 750'000;

/// Connections that divide the memory in virtual time.
struct Fixture {
  /// A connection that frees its memory when it is evicted.
  struct Connection {
    Connection(CallerMemoryPtr Memory)
        : Share_(std::move(Memory), [this] { IsEvicted_ = true; }) {}
    MemoryShare Share_;
    bool IsEvicted_ = false;
  };

  CallerMemoryPtr Memory_{new CallerMemory(Capacity)};
  base::TimePoint Now_{};
  std::vector<std::unique_ptr<Connection>> Connections_;

  Connection &connect() {
    Connections_.push_back(std::make_unique<Connection>(Memory_));
    return *Connections_.back();
  }

  /// Connects a client that sends \p Bytes and then stops.
  Connection &stall(std::size_t Bytes) {
    Connection &Client = connect();
    Client.Share_.beginWait(CallerWait::Send, Now_);
    Client.Share_.resize(Bytes, Now_);
    return Client;
  }

  std::size_t evictedCount() const {
    std::size_t Count = 0;
    for (const auto &Each : Connections_)
      Count += Each->IsEvicted_ ? 1 : 0;
    return Count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(callermemorytest, Fixture)

// A crowd whose requests are legal one by one stops before their end.
BOOST_AUTO_TEST_CASE(crowdThatStopsNeverExceedsTheMemory) {
  for (int I = 0; I < 400; ++I) {
    stall(500'000);
    Now_ += 10ms;
    BOOST_TEST(Memory_->used() <= LargeCapacity);
  }
  BOOST_TEST(evictedCount() == 399U);
}

BOOST_AUTO_TEST_CASE(longestAndLargestWaitIsEvictedFirst) {
  Connection &Old = stall(300'000);
  Now_ += 2s;
  Connection &Recent = stall(400'000);
  Now_ += 100ms;
  stall(300'000);
  BOOST_TEST(Old.IsEvicted_);
  BOOST_TEST(!Recent.IsEvicted_);
}

// A client that sends continuously begins its wait anew with each part.
BOOST_AUTO_TEST_CASE(clientThatGoesOnSendingIsNotEvicted) {
  Connection &Stopped = stall(200'000);
  Connection &Sending = connect();
  for (std::size_t Sent = 0; Sent <= 500'000; Sent += 20'000) {
    Sending.Share_.beginWait(CallerWait::Send, Now_);
    BOOST_TEST(Sending.Share_.resize(Sent, Now_));
    Now_ += 100ms;
  }
  stall(200'000);
  BOOST_TEST(Stopped.IsEvicted_);
  BOOST_TEST(!Sending.IsEvicted_);
}

BOOST_AUTO_TEST_CASE(connectionInProcessIsNotEvicted) {
  Connection &InProcess = connect();
  InProcess.Share_.resize(700'000, Now_);
  Now_ += 10s;
  BOOST_TEST(!connect().Share_.resize(100'000, Now_));
  BOOST_TEST(!InProcess.IsEvicted_);
  BOOST_TEST(Memory_->refusals() == 1);
}

BOOST_AUTO_TEST_CASE(smallRequestsKeepAPart) {
  for (int I = 0; I < 30; ++I)
    connect().Share_.resize(25'000, Now_);
  BOOST_TEST(!connect().Share_.resize(100'000, Now_));
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(connect().Share_.resize(25'000, Now_));
  BOOST_TEST(!connect().Share_.resize(25'000, Now_));
}

// Responses that are held already are accounted for although there is no room.
BOOST_AUTO_TEST_CASE(unreadResponsesAreEvictedForOthers) {
  std::vector<Connection *> Unread;
  for (int I = 0; I < 20; ++I) {
    Unread.push_back(&connect());
    Unread.back()->Share_.resizeUnchecked(100'000, Now_);
    Unread.back()->Share_.beginWait(CallerWait::Receive, Now_);
    Now_ += 100ms;
  }
  BOOST_TEST(Memory_->used() <= LargeCapacity);
  BOOST_TEST(Unread.front()->IsEvicted_);
  BOOST_TEST(!Unread.back()->IsEvicted_);
}

BOOST_AUTO_TEST_CASE(connectionThatEndsFreesItsMemory) {
  stall(500'000);
  Connections_.clear();
  BOOST_TEST(Memory_->used() == 0U);
  BOOST_TEST(connect().Share_.resize(700'000, Now_));
}

BOOST_AUTO_TEST_SUITE_END()
