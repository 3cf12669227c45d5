#ifndef EBONY_TESTS_VM_DAEMONFLEETFIXTURE_H
#define EBONY_TESTS_VM_DAEMONFLEETFIXTURE_H

#include "base/steadyclock.h"
#include "libs/vm/cuttablelink.h"
#include "libs/vm/requestpathfixture.h"
#include "vm/vmdaemon.h"

#include <unistd.h>

namespace ebony::vm {

/// Entry VMs with all their parts on addresses of the loopback network. Each
/// reaches the same upstreams over links of its own.
struct DaemonFleetFixture {
  static constexpr int UpstreamCount = 6;
  // Room for all callers beside the requests that hang, which VMs report as
  // under way: a refusal for lack of slots says nothing about a link.
  static constexpr int SlotsPerUpstream = 16;
  static constexpr std::uint16_t CallerPort = 18080;
  static constexpr std::uint16_t PeerPort = 18085;

  struct Vm {
    std::string Address_;
    std::vector<std::unique_ptr<CuttableLink>> Links_;
    std::unique_ptr<VmState> State_;
    std::unique_ptr<VmDaemon> Daemon_;
  };

  explicit DaemonFleetFixture(
      int VmCount = 3, int Slots = SlotsPerUpstream,
      base::Duration StopGrace = FleetBounds().StopGrace_)
      : Slots_(Slots), StopGrace_(StopGrace) {
    Rows_["operators"] = {{"configuration", "", 1, false}};
    for (int I = 0; I < UpstreamCount; ++I) {
      Upstreams_.push_back(std::make_unique<FakeUpstream>(Context_));
      Upstreams_.back()->start();
      Rows_["upstreams"].push_back(
          {"u" + std::to_string(I), std::to_string(I), I + 2, false});
    }
    for (int I = 0; I < VmCount; ++I)
      Rows_["vms"].push_back({nameOf(I), addressOf(I), I + 20, false});
    for (int I = 0; I < VmCount; ++I)
      addVm(I);
  }

  static std::string nameOf(int Number) {
    return "vm" + std::to_string(Number);
  }

  // Tests that run at the same time use different networks.
  static std::string addressOf(int Number) {
    const int Process = getpid();
    return "127." + std::to_string(1 + Process / 250 % 250) + "." +
           std::to_string(Process % 250) + "." + std::to_string(10 + Number);
  }

  void addVm(int Number) {
    Vm Made;
    Made.Address_ = addressOf(Number);
    std::vector<std::uint16_t> Ports;
    for (const auto &Upstream : Upstreams_) {
      Made.Links_.push_back(
          std::make_unique<CuttableLink>(Context_, Upstream->port()));
      Ports.push_back(Made.Links_.back()->port());
    }
    PlatformBinding Binding = makeTestBinding(Context_, Rows_);
    Binding.ReadinessPath_ = "/ready";
    Binding.DirectoryPath_ = "/resolve";
    Binding.EncodeDirectory_ = [](const std::vector<std::string> &Addresses,
                                  int) {
      std::string Text;
      for (const std::string &Address : Addresses)
        Text += Address + "\n";
      return Text;
    };
    const auto Decode = Binding.DecodeUpstream_;
    Binding.DecodeUpstream_ = [this, Decode, Ports](const store::Row &Row) {
      auto Entry = Decode(Row);
      Entry->Port_ = Ports.at(static_cast<std::size_t>(std::stoi(Row.Value_)));
      Entry->Slots_ = Slots_;
      return Entry;
    };
    VmSettings Settings;
    Settings.Name_ = nameOf(Number);
    Settings.Zone_ = base::ZoneName("z");
    Settings.Region_ = base::RegionName("r");
    Settings.Zones_[Settings.Zone_] = Settings.Region_;
    const auto Address = boost::asio::ip::make_address(Made.Address_);
    Settings.Callers_ = {Address, CallerPort};
    Settings.Readiness_ = {Address, CallerPort + 1};
    Settings.Directory_ = {Address, CallerPort + 2};
    Settings.Metrics_ = {Address, CallerPort + 3};
    Settings.PeerPort_ = PeerPort;
    FleetBounds Bounds;
    Bounds.RetrySlack_ = 100;
    // The slack is used a window after the start.
    Bounds.RetryWindow_ = std::chrono::milliseconds(200);
    Bounds.StopGrace_ = StopGrace_;
    Made.State_ = std::make_unique<VmState>(Context_, Clock_, Settings, Bounds,
                                            std::move(Binding), 1);
    Made.Daemon_ = std::make_unique<VmDaemon>(Context_, *Made.State_);
    Made.Daemon_->start();
    Vms_.push_back(std::move(Made));
  }

  void cut(int Number, CutKind Kind) {
    for (const auto &Link : Vms_[Number].Links_)
      Link->cut(Kind);
  }

  void mend(int Number) {
    for (const auto &Link : Vms_[Number].Links_)
      Link->mend();
  }

  asynckit::awaitable<void> pause(base::Duration Span) {
    boost::asio::steady_timer Timer(Context_, Span);
    asynckit::error_code Ignored; // The timer is never cancelled.
    co_await Timer.async_wait(asynckit::into(Ignored));
  }

  /// Waits until \p Condition holds. Returns false if it does not in time.
  asynckit::awaitable<bool> await(std::function<bool()> Condition) {
    const base::TimePoint End = Clock_.now() + std::chrono::seconds(20);
    while (!Condition()) {
      if (Clock_.now() > End)
        co_return false;
      co_await pause(std::chrono::milliseconds(5));
    }
    co_return true;
  }

  /// Waits until each VM names all of them to callers.
  asynckit::awaitable<bool> awaitFleet() {
    co_return co_await await([this] {
      for (int By = 0; By < static_cast<int>(Vms_.size()); ++By)
        for (int Vm = 0; Vm < static_cast<int>(Vms_.size()); ++Vm)
          if (!isNamed(By, Vm))
            return false;
      return true;
    });
  }

  /// Sends one request on a new connection. The status is 0 if no response
  /// arrived.
  asynckit::awaitable<TestResponse> call(int Number, std::string Target,
                                         std::string Body = "") {
    const std::string Id = "q" + std::to_string(++LastId_);
    const std::string Request =
        (Body.empty() ? "GET " : "POST ") + Target +
        " HTTP/1.1\r\nHost: h\r\nId: " + Id + "\r\nLeft: 4000\r\n" +
        (Body.empty()
             ? ""
             : "Content-Length: " + std::to_string(Body.size()) + "\r\n") +
        "\r\n" + Body;
    TestResponse Response;
    Response.result(boost::beast::http::status::unknown);
    asynckit::error_code Error;
    boost::asio::ip::tcp::socket Socket(Context_);
    co_await Socket.async_connect(
        {boost::asio::ip::make_address(Vms_[Number].Address_), CallerPort},
        asynckit::into(Error));
    if (!Error)
      co_await boost::asio::async_write(Socket, boost::asio::buffer(Request),
                                        asynckit::into(Error));
    boost::beast::flat_buffer Buffer;
    if (!Error)
      co_await boost::beast::http::async_read(Socket, Buffer, Response,
                                              asynckit::into(Error));
    if (Error)
      Response.result(boost::beast::http::status::unknown);
    co_return Response;
  }

  /// Starts \p Callers callers that call the VM again and again until the test
  /// ends.
  void startLoad(int Number, int Callers) {
    for (int I = 0; I < Callers; ++I)
      boost::asio::co_spawn(
          Context_,
          [this, Number]() -> asynckit::awaitable<void> {
            while (IsLoadOn_) {
              co_await call(Number, "/read/a");
              co_await pause(std::chrono::milliseconds(20));
            }
          },
          boost::asio::detached);
  }

  bool isNamed(int ByVm, int Vm) const {
    const VmState &State = *Vms_[ByVm].State_;
    const auto Addresses = Vms_[ByVm].State_->Directory_.resolve(
        State.Settings_.Region_, State.ownReport(), State.Members_,
        Clock_.now());
    return std::any_of(Addresses.begin(), Addresses.end(),
                       [&](const std::string &Address) {
                         return Address.starts_with(Vms_[Vm].Address_ + ":");
                       });
  }

  /// Returns how many requests for \p Target the upstreams got.
  int countArrivals(const std::string &Target) const {
    int Count = 0;
    for (const auto &Upstream : Upstreams_)
      for (const FakeRequest &Request : Upstream->requests())
        Count += std::string_view(Request.target().data(),
                                  Request.target().size()) == Target
                     ? 1
                     : 0;
    return Count;
  }

  void run(asynckit::awaitable<void> Test) {
    boost::asio::co_spawn(
        Context_,
        [this, &Test]() -> asynckit::awaitable<void> {
          co_await std::move(Test);
          IsLoadOn_ = false;
          Context_.stop();
        },
        [](const std::exception_ptr &Error) {
          if (Error)
            std::rethrow_exception(Error);
        });
    Context_.run();
  }

  int Slots_;
  base::Duration StopGrace_;
  boost::asio::io_context Context_{1};
  base::SteadyClock Clock_;
  FakeRows Rows_;
  std::vector<std::unique_ptr<FakeUpstream>> Upstreams_;
  std::vector<Vm> Vms_;
  int LastId_ = 0;
  bool IsLoadOn_ = true;
};

} // namespace ebony::vm

#endif
