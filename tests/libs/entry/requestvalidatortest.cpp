#include "entry/requestvalidator.h"

#include "base/manualclock.h"
#include "httpkit/httpserver.h"
#include "records/recordtext.h"
#include "trust/keygenerator.h"

#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace ebony;
using namespace ebony::entry;
using namespace std::chrono_literals;
using namespace Poco::Net;

namespace {

class UnlimitedAdmission final : public Admission {
public:
  AdmissionDecision admit(const base::CustomerName &,
                          base::TimePoint) override {
    return {true, base::Duration(0), ""};
  }
};

config::RecordChange change(const char *Kind, const std::string &Name,
                            const std::string &Text) {
  return {{Kind, Name}, Text};
}

/// HTTP server on the loopback network that validates each request and responds
/// with 200 to those that are accepted.
struct ValidatorFixture {
  ValidatorFixture() {
    State_.freshness().addEvidence({1, Clock_.now()});
    State_.apply({{1, config::OperationId("first"), initialRecords()}});
    Server_.start();
  }

  std::vector<config::RecordChange> initialRecords() const {
    const trust::KeyEntry &Entry = Key_.Entry_;
    const records::KeyRecord Key{Entry.Id_, Entry.Customer_, Entry.Salt_,
                                 Entry.Hash_};
    return {change("service", "s",
                   R"({"schemaVersion":2,"kind":"service","name":"s",)"
                   R"("timeoutMilliseconds":1000,"maxBodyBytes":10})"),
            change("route", "keyed",
                   R"({"schemaVersion":2,"kind":"route","name":"keyed",)"
                   R"("service":"s"})"),
            change("route", "open",
                   R"({"schemaVersion":2,"kind":"route","name":"open",)"
                   R"("service":"s","pathPrefix":"/open","access":"open"})"),
            change("key", Key.Name_, records::toJson(Key))};
  }

  /// Returns the status code of the response to \p Head.
  std::string status(const std::string &Head) const {
    StreamSocket Socket(SocketAddress(Address, Port_));
    const std::string Bytes = Head + "\r\nHost: test\r\n\r\n";
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::array<char, 12> Answer{};
    const int Received =
        Socket.receiveBytes(Answer.data(), static_cast<int>(Answer.size()));
    const std::string Text(Answer.data(), static_cast<std::size_t>(Received));
    return Text.substr(Text.find(' ') + 1);
  }

  std::string statusWithKey(const std::string &KeyText) const {
    return status("GET /s/s/x HTTP/1.1\r\nAuthorization: Bearer " + KeyText);
  }

  void answer(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    Response.setKeepAlive(false);
    const ValidationResult Result = Validator_.validate(Request);
    if (const auto *Refusal = std::get_if<httpkit::Problem>(&Result))
      return httpkit::sendProblem(Response, *Refusal);
    Response.setContentLength(0);
    Response.send();
  }

  static constexpr const char *Address = "127.3.1.1";

  base::ManualClock Clock_;
  fleet::FleetState State_{{}, 4};
  trust::GeneratedKey Key_ =
      trust::KeyGenerator::generate(base::CustomerName("atlas"), {1, 2, 3});
  UnlimitedAdmission Admission_;
  RequestIdGenerator IdGenerator_{
      base::VmIdentity(base::VmAddress(Address), 1, base::ZoneName("z"))};
  RequestValidator Validator_{State_, Clock_, Admission_, IdGenerator_};
  std::uint16_t Port_ =
      ServerSocket(SocketAddress(Address, 0)).address().port();
  telemetry::MetricsRegistry Metrics_;
  httpkit::HttpServer Server_{
      "test",
      {Address, Port_},
      4,
      Metrics_,
      [this](auto &Request, auto &Response) { answer(Request, Response); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(requestvalidatortest, ValidatorFixture)

BOOST_AUTO_TEST_CASE(rejectsInvalidHeadsWithMatchingStatus) {
  BOOST_TEST(status("GET /s/s/open HTTP/1.1") == "200");
  BOOST_TEST(status("GET /nothing HTTP/1.1") == "404");
  BOOST_TEST(status("GET /s/gone/x HTTP/1.1") == "404");
  BOOST_TEST(status("GET /s/s/x HTTP/1.1") == "401");
  BOOST_TEST(status("POST /s/s/open HTTP/1.1\r\nContent-Length: -5") == "400");
  BOOST_TEST(status("POST /s/s/open HTTP/1.1\r\nContent-Length: 11") == "413");
  BOOST_TEST(status("GET /s/s/open HTTP/1.1\r\nEbony-Deadline-Ms: soon") ==
             "400");
  BOOST_TEST(status("GET /s/s/open HTTP/1.1\r\nIdempotency-Key: " +
                    std::string(300, 'k')) == "400");
}

BOOST_AUTO_TEST_CASE(acceptsKeyOnlyWhileValidAndFresh) {
  BOOST_TEST(statusWithKey(Key_.Text_) == "200");
  BOOST_TEST(statusWithKey(Key_.Text_ + "0") == "401");
  Clock_.advance(6s);
  BOOST_TEST(statusWithKey(Key_.Text_) == "503");
  BOOST_TEST(status("GET /s/s/open HTTP/1.1") == "200");
  State_.freshness().addEvidence({1, Clock_.now()});
  BOOST_TEST(statusWithKey(Key_.Text_) == "200");
  State_.apply({{2,
                 config::OperationId("withdraw"),
                 {{{"key", Key_.Entry_.Id_}, std::nullopt}}}});
  State_.freshness().addEvidence({2, Clock_.now()});
  BOOST_TEST(statusWithKey(Key_.Text_) == "401");
}

BOOST_AUTO_TEST_SUITE_END()
